// Addresses in the form that configurations and lists of servers have them in.
#ifndef MERLINRUN_SCALE_ADDRESS_HPP_
#define MERLINRUN_SCALE_ADDRESS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace merlinrun::scale {

// IPv4 only: HOST:PORT.
inline std::string AddressText(const boost::asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_ADDRESS_HPP_
