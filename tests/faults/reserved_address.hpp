// Reserves a loopback port for a program that is started later. The port is bound but not listened on: the
// kernel gives it to no other socket, while the program can still bind and listen on it.
#ifndef MERLINRUN_TESTS_FAULTS_RESERVED_ADDRESS_HPP_
#define MERLINRUN_TESTS_FAULTS_RESERVED_ADDRESS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "../net/loopback.hpp"

namespace merlinrun::faults {

class ReservedAddress {
 public:
  explicit ReservedAddress(net::asio::io_context& io) : socket_(io) {
    socket_.open(net::Tcp::v4());
    socket_.set_option(net::asio::socket_base::reuse_address(true));
    socket_.bind(net::testing::Loopback());
  }
  net::Tcp::endpoint address() const { return socket_.local_endpoint(); }

 private:
  net::Tcp::socket socket_;
};

}  // namespace merlinrun::faults

#endif  // MERLINRUN_TESTS_FAULTS_RESERVED_ADDRESS_HPP_
