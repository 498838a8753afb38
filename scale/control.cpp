#include "control.hpp"

#include <malloc.h>
#include <poll.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <fstream>
#include <istream>
#include <stdexcept>

namespace merlinrun::scale {
namespace {

using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr auto kStartupTimeout = std::chrono::seconds(60);

Micros ToMicros(const timeval& time) {
  return static_cast<Micros>(time.tv_sec) * 1'000'000 + static_cast<Micros>(time.tv_usec);
}

}  // namespace

Micros SteadyNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

WorkerProcess::WorkerProcess(const char* kind, const std::filesystem::path& log)
    : kind_(kind), acceptor_(io_, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)), socket_(io_) {
  Child::Options options;
  options.program = ExecutablePath();
  options.arguments = {kind, std::to_string(acceptor_.local_endpoint().port())};
  options.log = log;
  child_ = std::make_unique<Child>(options);
  AwaitInput(acceptor_.native_handle(), std::chrono::steady_clock::now() + kStartupTimeout);
  acceptor_.accept(socket_);
  socket_.set_option(Tcp::no_delay(true));
  acceptor_.close();
}

// Waits in short intervals, to notice soon if the process has exited.
void WorkerProcess::AwaitInput(int descriptor, std::chrono::steady_clock::time_point end) const {
  for (;;) {
    pollfd wait{descriptor, POLLIN, 0};
    const int ready = ::poll(&wait, 1, 100);
    if (ready > 0) return;
    if (ready < 0 && errno != EINTR) throw std::runtime_error(kind_ + ": poll failed");
    if (child_->Wait(std::chrono::milliseconds(0)))
      throw std::runtime_error(kind_ + ": process has exited, see its log");
    if (std::chrono::steady_clock::now() >= end) throw std::runtime_error(kind_ + ": no reply in time");
  }
}

void WorkerProcess::Send(const nlohmann::json& command) {
  ErrorCode error;
  asio::write(socket_, asio::buffer(command.dump() + "\n"), error);
  if (error) throw std::runtime_error(kind_ + ": " + error.message());
}

nlohmann::json WorkerProcess::Receive(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  std::array<char, 65536> chunk;
  std::size_t searched = 0;
  std::size_t line_end = std::string::npos;
  while ((line_end = input_.find('\n', searched)) == std::string::npos) {
    searched = input_.size();
    AwaitInput(socket_.native_handle(), end);
    ErrorCode error;
    const std::size_t n = socket_.read_some(asio::buffer(chunk), error);
    if (error) throw std::runtime_error(kind_ + ": " + error.message() + ", see its log");
    input_.append(chunk.data(), n);
  }
  nlohmann::json reply = nlohmann::json::parse(input_.substr(0, line_end));
  input_.erase(0, line_end + 1);
  if (reply.contains("error")) throw std::runtime_error(kind_ + ": " + reply["error"].get<std::string>());
  return reply;
}

CommandLoop::CommandLoop(asio::io_context& io, std::uint16_t port, Handler handler)
    : io_(io), socket_(io), input_(std::size_t{64} << 20), handler_(std::move(handler)) {
  socket_.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port));
  socket_.set_option(Tcp::no_delay(true));
  Read();
}

void CommandLoop::Read() {
  asio::async_read_until(socket_, input_, '\n', [this](ErrorCode error, std::size_t) {
    if (error) return io_.stop();
    std::istream stream(&input_);
    std::string line;
    std::getline(stream, line);
    nlohmann::json reply;
    try {
      reply = handler_(nlohmann::json::parse(line));
    } catch (const std::exception& exception) {
      reply = {{"error", exception.what()}};
    }
    asio::write(socket_, asio::buffer(reply.dump() + "\n"), error);
    if (error) return io_.stop();
    Read();
  });
}

nlohmann::json OwnUsage(bool trim) {
  if (trim) ::malloc_trim(0);
  rusage usage{};
  ::getrusage(RUSAGE_SELF, &usage);
  std::ifstream file("/proc/self/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  file >> size >> resident;
  return {{"cpu_us", ToMicros(usage.ru_utime) + ToMicros(usage.ru_stime)},
          {"rss_bytes", resident * ::sysconf(_SC_PAGESIZE)}};
}

}  // namespace merlinrun::scale
