// Formats addresses as configuration files and server lists contain them.
#ifndef MERLINRUN_SCALE_ADDRESS_HPP_
#define MERLINRUN_SCALE_ADDRESS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace merlinrun::scale {

// Returns HOST:PORT. IPv4 only, as an IPv6 address would need brackets.
inline std::string AddressText(const boost::asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_ADDRESS_HPP_
