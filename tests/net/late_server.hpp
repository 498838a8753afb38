// A server to which connections take long to be established.
#ifndef MERLINRUN_TESTS_NET_LATE_SERVER_HPP_
#define MERLINRUN_TESTS_NET_LATE_SERVER_HPP_

#include "loopback.hpp"

namespace merlinrun::net::testing {

// A server whose connections are not established before AcceptConnections is called: one connection fills its
// backlog, and the kernel drops further SYNs until the backlog is enlarged.
class LateServer {
 public:
  explicit LateServer(asio::io_context& io) : acceptor_(io, Tcp::v4()), filler_(io) {
    acceptor_.bind(Loopback());
    acceptor_.listen(0);
    address = acceptor_.local_endpoint();
    filler_.connect(address);
  }
  ~LateServer() {
    for (auto& peer : peers) peer->on_data = nullptr, peer->Close();
  }
  void AcceptConnections() {
    acceptor_.listen(64);
    Accept();
  }
  std::string Received() const {
    std::string all;
    for (const auto& peer : peers) all += peer->received;
    return all;
  }

  Tcp::endpoint address;
  std::vector<std::shared_ptr<Peer>> peers;

 private:
  void Accept() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->on_data = Serves("late");
      peers.back()->Read();
      Accept();
    });
  }

  Tcp::acceptor acceptor_;
  Tcp::socket filler_;
};

}  // namespace merlinrun::net::testing

#endif  // MERLINRUN_TESTS_NET_LATE_SERVER_HPP_
