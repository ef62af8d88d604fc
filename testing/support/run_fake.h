#ifndef TESTING_SUPPORT_RUN_FAKE_H_
#define TESTING_SUPPORT_RUN_FAKE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <string>

namespace kumquatgauge::testing {

// Options "--NAME VALUE", each read by its function; a function that throws
// makes the value invalid.
using FakeOptions =
    std::map<std::string, std::function<auto(const std::string&)->void>>;

// Reads the options with getopt_long; prints a message and returns false when
// one is unknown or invalid. Names in `flags` take no value.
auto ReadFakeOptions(int argc,
                     char** argv,
                     const FakeOptions& options,
                     const FakeOptions& flags) -> bool;

// Prints "listening on ADDRESS" and runs until SIGTERM or SIGINT, then calls
// `stop`.
auto RunFake(boost::asio::io_context& context,
             const std::string& address,
             const std::function<auto()->void>& stop) -> void;

}  // namespace kumquatgauge::testing

#endif  // TESTING_SUPPORT_RUN_FAKE_H_
