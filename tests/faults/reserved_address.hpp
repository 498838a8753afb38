// An address for a program that is to be started: bound and not listened at, so that the port stays free for
// that program and for nobody else.
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
