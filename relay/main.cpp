// rookhub_relay: passes the list of servers on from discovery to many sidecars.
// Exit status: 0 after SIGTERM or SIGINT, 1 if it cannot listen, 2 if the command line is invalid.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>
#include <vector>

#include "relay/options.hpp"
#include "relay/relay.hpp"

namespace {

using merlinrun::relay::Relay;

// Runs the event loop until it is stopped. An exception that escapes a handler is logged and ends only that
// handler, not the relay with all its watches.
void RunUntilStopped(boost::asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      spdlog::error("{}", error.what());
    }
  }
}

int Serve(const std::vector<std::string>& arguments) {
  merlinrun::relay::Config config;
  if (!merlinrun::relay::ParseOptions(arguments, config)) return 0;
  boost::asio::io_context io(1);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code& error, int) {
    if (!error) io.stop();
  });
  std::optional<Relay> relay;
  try {
    relay.emplace(io, config);
  } catch (const boost::system::system_error& error) {
    std::fprintf(stderr, "rookhub_relay: cannot listen: %s\n", error.what());
    return 1;
  }
  RunUntilStopped(io);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // writing to a closed connection then returns an error instead
  spdlog::set_default_logger(spdlog::stderr_logger_st("relay"));
  try {
    return Serve(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rookhub_relay: %s\n", error.what());
    return 2;
  }
}
