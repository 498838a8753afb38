// A fake server that records each request that it receives, and that can hang, decline requests or stop.
#ifndef MERLINRUN_TESTS_FAULTS_RECORDING_SERVER_HPP_
#define MERLINRUN_TESTS_FAULTS_RECORDING_SERVER_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "faulty_discovery.hpp"
#include "net/protocol.hpp"

namespace merlinrun::faults {

// A request that a server received.
struct Arrival {
  std::string request;           // its id
  std::string server;            // its id
  Clock::time_point first_byte;  // when the first byte of the request arrived
  double received_deadline = 0;  // seconds, from the request's deadline header
  bool declined = false;         // the server answered that it did not run the request
};

class RecordingServer {
 public:
  enum class Mode {
    kServing,    // answers after up to 25 ms
    kHanging,    // reads requests and does not answer them
    kDeclining,  // answers with 503 and Srv-Declined
    kStopped     // closes its listener and all connections
  };

  RecordingServer(net::asio::io_context& io, std::string id, std::uint64_t seed,
                  std::vector<Arrival>& arrivals);
  ~RecordingServer();
  RecordingServer(const RecordingServer&) = delete;
  RecordingServer& operator=(const RecordingServer&) = delete;

  void SetMode(Mode mode);
  const std::string& id() const { return id_; }
  const net::Tcp::endpoint& address() const { return address_; }

 private:
  class Connection;

  void Accept();

  net::asio::io_context& io_;
  const std::string id_;
  std::mt19937_64 random_;
  std::vector<Arrival>& arrivals_;
  Mode mode_ = Mode::kServing;
  net::Tcp::acceptor acceptor_;
  net::Tcp::endpoint address_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace merlinrun::faults

#endif  // MERLINRUN_TESTS_FAULTS_RECORDING_SERVER_HPP_
