#ifndef BASE_LISTEN_ADDRESS_H_
#define BASE_LISTEN_ADDRESS_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <string>

namespace kumquatgauge::detail {

// Opens, binds and listens. Leaves the acceptor closed on an error.
auto OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                  const boost::asio::ip::tcp::endpoint& endpoint)
    -> boost::system::error_code;

// How a socket at a listen address is opened.
struct ListenHooks {
  // Opens the socket; operation_aborted when it is no longer wanted.
  std::function<auto()->boost::system::error_code> open;
  std::function<auto()->void> opened;
};

// Calls Open() and OnOpened() of an owner for as long as it exists.
template <typename Owner>
auto MakeListenHooks(const std::weak_ptr<Owner>& owner) -> ListenHooks {
  return {.open =
              [owner] {
                const auto self = owner.lock();
                return self ? self->Open()
                            : boost::system::error_code(
                                  boost::asio::error::operation_aborted);
              },
          .opened =
              [owner] {
                if (const auto self = owner.lock()) {
                  self->OnOpened();
                }
              }};
}

// Opens a listen address at once or, while it cannot be used for a reason that
// may pass, again and again: other programs may hold it for a while, also as
// the source of an outgoing connection, and an interface may get its addresses
// late. Throws Error(kUnavailable) if the first call of `open` fails for
// another reason.
auto OpenListenAddress(const boost::asio::any_io_executor& executor,
                       const std::string& address,
                       ListenHooks hooks) -> void;

}  // namespace kumquatgauge::detail

#endif  // BASE_LISTEN_ADDRESS_H_
