// The control connection between a run and its worker processes. Commands and replies are JSON objects, one
// per line; each command gets one reply.
#ifndef MERLINRUN_SCALE_CONTROL_HPP_
#define MERLINRUN_SCALE_CONTROL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/streambuf.hpp>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "child.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::scale {

namespace asio = boost::asio;

inline constexpr const char* kDiscoveryProcess = "stand-in-discovery";
inline constexpr const char* kFleetProcess = "hollow-fleet";
inline constexpr const char* kServerProcess = "stand-in-servers";

// Returns the time of the steady clock in microseconds. All processes of the machine share this clock.
Micros SteadyNow();

// A worker process: a part of this program that runs in a child process and executes commands.
class WorkerProcess {
 public:
  // Throws std::runtime_error if the process cannot be started or does not connect in time.
  WorkerProcess(const char* kind, const std::filesystem::path& log);

  // Send() sends a command, and Receive() returns the reply to the earliest command without one. Both throw
  // std::runtime_error: if the process has exited, does not reply in time, or replies with an error.
  void Send(const nlohmann::json& command);
  nlohmann::json Receive(std::chrono::milliseconds timeout = std::chrono::minutes(2));
  nlohmann::json Execute(const nlohmann::json& command) {
    Send(command);
    return Receive();
  }
  const Child& child() const { return *child_; }

 private:
  void AwaitInput(int descriptor, std::chrono::steady_clock::time_point end) const;

  const std::string kind_;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  std::string input_;
  std::unique_ptr<Child> child_;
};

// The side of the worker process: replies to commands until the run closes the connection, then stops the
// I/O loop.
class CommandLoop {
 public:
  using Handler = std::function<nlohmann::json(const nlohmann::json& command)>;
  CommandLoop(asio::io_context& io, std::uint16_t port, Handler handler);

 private:
  void Read();

  asio::io_context& io_;
  asio::ip::tcp::socket socket_;
  asio::streambuf input_;
  const Handler handler_;
};

// Returns the resource usage of this process for a reply: "cpu_us" since its start, and "rss_bytes". With
// `trim`, free heap memory is returned to the system first.
nlohmann::json OwnUsage(bool trim);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CONTROL_HPP_
