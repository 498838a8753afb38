#include "relay/options.hpp"

#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <limits>

namespace merlinrun::relay {
namespace {

// Descriptors that are not available for connections: those of the event loop, the listeners, the upstream
// and the state file.
constexpr rlim_t kReservedDescriptors = 64;
constexpr std::int64_t kMaxOptionMs = 60'000;

net::Tcp::endpoint ParseAddressOption(const std::string& option, const std::string& text) {
  const auto address = net::ParseAddress(text);
  if (!address) throw OptionsError(option + " '" + text + "': not an address with a port");
  return *address;
}

std::size_t MaxConnections() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return Server::Limits().max_connections;
  if (limit.rlim_cur == RLIM_INFINITY) return std::numeric_limits<std::int32_t>::max();
  return static_cast<std::size_t>(std::max(limit.rlim_cur, 2 * kReservedDescriptors) - kReservedDescriptors);
}

}  // namespace

bool ParseOptions(const std::vector<std::string>& arguments, Config& config) {
  CLI::App app("The fan-out tier of discovery: one watch upstream, many downstream.", "rookhub_relay");
  std::vector<std::string> listen;
  std::string upstream;
  std::string state;
  std::int64_t batch = config.batch_interval.count();
  std::int64_t max_wait = config.limits.admission.max_wait.count();
  Config parsed = config;
  app.add_option("--listen", listen, "address to listen at; may be given more than once")
      ->required()
      ->expected(1)
      ->take_all();
  app.add_option("--upstream", upstream, "address of discovery, or of the upstream relay")->required();
  app.add_option("--state", state, "file that keeps the list across restarts");
  app.add_option("--batch-ms", batch, "changes within this time are sent as one object")
      ->check(CLI::Range(std::int64_t{0}, kMaxOptionMs));
  app.add_option("--whole-lists", parsed.limits.admission.max_concurrent,
                 "maximum number of full lists that are sent at once")
      ->check(CLI::Range(1, 1'000'000));
  app.add_option("--waiting", parsed.limits.admission.max_waiting_calls,
                 "maximum number of calls that wait for a full list")
      ->check(CLI::Range(0, 1'000'000));
  app.add_option("--longest-wait-ms", max_wait,
                 "maximum wait for a full list; after it a call is answered with 503")
      ->check(CLI::Range(std::int64_t{0}, kMaxOptionMs));
  app.add_option("--history", parsed.max_tombstones,
                 "maximum number of removed entries that are kept for deltas")
      ->check(CLI::Range(0, 100'000'000));
  app.add_option("--seed", parsed.seed, "seed for the jitter on reconnects");
  std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
  try {
    app.parse(std::move(reversed));
  } catch (const CLI::CallForHelp&) {
    std::fputs(app.help().c_str(), stdout);
    return false;
  } catch (const CLI::ParseError& error) {
    std::string line = error.what();
    std::replace(line.begin(), line.end(), '\n', ' ');
    throw OptionsError(line);
  }
  for (const std::string& text : listen) parsed.listen.push_back(ParseAddressOption("--listen", text));
  parsed.upstream = ParseAddressOption("--upstream", upstream);
  parsed.state_path = state;
  parsed.batch_interval = std::chrono::milliseconds(batch);
  parsed.limits.admission.max_wait = std::chrono::milliseconds(max_wait);
  parsed.limits.max_connections = MaxConnections();
  config = std::move(parsed);
  return true;
}

}  // namespace merlinrun::relay
