// The line between a run and its child processes: JSON objects, one a line, an answer for each command.
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

// One clock for all processes of the machine, in microseconds.
Micros SteadyNow();

// One of this program's own parts, in a process of its own, that does what it is told.
class Part {
 public:
  // Throws std::runtime_error if it cannot be started or does not come up.
  Part(const char* kind, const std::filesystem::path& log);

  // Sends a command, and takes the answer to the earliest that is unanswered. Both throw std::runtime_error:
  // if the part has ended, does not answer in time, or says that it could not do it.
  void Send(const nlohmann::json& command);
  nlohmann::json Receive(std::chrono::milliseconds most = std::chrono::minutes(2));
  nlohmann::json Ask(const nlohmann::json& command) {
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

// The part's side: answers commands until the run ends the line, and stops the loop then.
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

// What every part answers of itself: "cpu_us" since its start, and "rss_bytes".
nlohmann::json OwnUsage(bool trim);

}  // namespace merlinrun::scale

#endif  // MERLINRUN_SCALE_CONTROL_HPP_
