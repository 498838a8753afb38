// fennelhollow: a sidecar that balances the requests of the application beside it over a set of servers.
// Exit status: 0 after SIGTERM or SIGINT, 1 if it cannot listen, 2 if the configuration is invalid.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "net/config.hpp"
#include "net/sidecar.hpp"

namespace {

using merlinrun::net::Sidecar;

const char* GetEnvironment(const char* name) { return std::getenv(name); }

// Runs the event loop until it is stopped. An exception from a handler is logged and ends that handler alone:
// the process goes on, as its end would fail every pending request.
void RunUntilStopped(boost::asio::io_context& io) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "fennelhollow: %s\n", error.what());
    }
  }
}

// Reads the configuration again at each SIGHUP. An invalid file is logged and changes nothing.
class Reloader {
 public:
  explicit Reloader(boost::asio::io_context& io) : signals_(io, SIGHUP) {}

  // Starts to reload `sidecar`, which must outlive the event loop, at each SIGHUP.
  void WaitForSignal(Sidecar& sidecar) {
    signals_.async_wait([this, &sidecar](const boost::system::error_code& stopped, int) {
      if (stopped) return;
      try {
        sidecar.Reload(merlinrun::net::ReloadConfig(GetEnvironment));
      } catch (const std::exception& error) {
        std::fprintf(stderr, "fennelhollow: reload failed, the current configuration is kept: %s\n",
                     error.what());
      }
      WaitForSignal(sidecar);
    });
  }

 private:
  boost::asio::signal_set signals_;
};

// Returns the exit status.
int RunSidecar() {
  boost::asio::io_context io(1);
  // Created before the configuration is read: from here on SIGHUP waits for the event loop instead of ending
  // the process.
  Reloader reloader(io);
  Sidecar sidecar(io, merlinrun::net::LoadConfig(GetEnvironment));
  reloader.WaitForSignal(sidecar);
  boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT);
  stop_signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) sidecar.Drain([&io] { io.stop(); });
  });
  try {
    sidecar.Start();
  } catch (const boost::system::system_error& error) {
    std::fprintf(stderr, "fennelhollow: cannot listen: %s\n", error.what());
    return 1;
  }
  RunUntilStopped(io);
  return 0;
}

}  // namespace

int main() {
  // A write to a closed connection then fails with EPIPE instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return RunSidecar();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow: %s\n", error.what());
    return 2;
  }
}
