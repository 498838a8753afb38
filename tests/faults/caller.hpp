// A client application that sends one request after another to the sidecar over a persistent connection.
#ifndef MERLINRUN_TESTS_FAULTS_CALLER_HPP_
#define MERLINRUN_TESTS_FAULTS_CALLER_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "faulty_discovery.hpp"
#include "net/protocol.hpp"

namespace merlinrun::faults {

// The record of one request, from its client's side.
struct Request {
  std::string id;
  std::string kind;
  Clock::time_point sent;
  double deadline = 0;                               // seconds, from `sent`
  std::optional<Clock::time_point> disconnected_at;  // when the client gave up on purpose
  std::optional<Clock::time_point> answered_at;
  int status = 0;
  int closed_unanswered = 0;   // connections that the sidecar closed before it answered
  bool not_connected = false;  // no new connection could be opened to send the request again
};

// Sends requests, with random pauses between them. It closes its connection during a small share of them, as
// a client does that no longer waits for the answer.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  // Appends its requests to `requests`, which must outlive the caller. A deque, as the caller keeps a pointer
  // to its last entry while other callers append theirs.
  Caller(net::asio::io_context& io, net::Tcp::endpoint sidecar, std::string name, std::uint64_t seed,
         std::deque<Request>& requests);

  void Start() { Pause(); }
  // From now on, opens a new connection only to resend a request whose connection ended before it was
  // answered.
  void ReconnectOnlyToResend() { reconnects_only_to_resend_ = true; }
  void Stop();

 private:
  void Pause();
  void StartRequest();
  void Send();
  void Read();
  void OnBytes();
  void OnClosed();
  void OnTimeout();
  bool Connect();
  void Disconnect();
  // Returns a random number, uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  net::asio::io_context& io_;
  const net::Tcp::endpoint sidecar_;
  const std::string name_;
  std::mt19937_64 random_;
  std::deque<Request>& requests_;
  std::unique_ptr<net::Tcp::socket> socket_;
  std::uint64_t connection_id_ = 0;  // changes with each connection, so that late callbacks can be ignored
  net::asio::steady_timer timer_;    // the pause between requests, then the timeout of the request
  net::asio::steady_timer disconnect_timer_;
  std::array<char, 4096> chunk_{};
  std::string received_;
  Request* current_ = nullptr;  // the request in progress; null between requests
  int request_count_ = 0;
  bool reconnects_only_to_resend_ = false;
  bool stopped_ = false;
};

}  // namespace merlinrun::faults

#endif  // MERLINRUN_TESTS_FAULTS_CALLER_HPP_
