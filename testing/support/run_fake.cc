#include "testing/support/run_fake.h"

#include <getopt.h>

#include <exception>
#include <vector>

namespace kumquatgauge::testing {

auto ReadFakeOptions(int argc,
                     char** argv,
                     const FakeOptions& options,
                     const FakeOptions& flags) -> bool {
  std::vector<option> table;
  for (const auto& [name, read] : options) {
    table.push_back({name.c_str(), required_argument, nullptr, 0});
  }
  for (const auto& [name, read] : flags) {
    table.push_back({name.c_str(), no_argument, nullptr, 0});
  }
  table.push_back({nullptr, 0, nullptr, 0});
  auto index = 0;
  auto found = 0;
  while ((found = getopt_long(argc, argv, "", table.data(), &index)) != -1) {
    if (found != 0) {
      return false;  // getopt_long has printed the reason.
    }
    const std::string name = table[static_cast<std::size_t>(index)].name;
    const std::string value = optarg == nullptr ? "" : optarg;
    const auto takes_value = options.count(name) > 0;
    try {
      (takes_value ? options : flags).at(name)(value);
    } catch (const std::exception&) {
      std::cerr << argv[0] << ": invalid value for --" << name << ": '" << value
                << "'\n";
      return false;
    }
  }
  if (optind < argc) {
    std::cerr << argv[0] << ": unexpected argument '" << argv[optind] << "'\n";
    return false;
  }
  return true;
}

auto RunFake(boost::asio::io_context& context,
             const std::string& address,
             const std::function<auto()->void>& stop) -> void {
  std::cout << "listening on " << address << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) {
      stop();
      context.stop();
    }
  });
  context.run();
}

}  // namespace kumquatgauge::testing
