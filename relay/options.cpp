#include "relay/options.hpp"

#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <limits>

namespace merlinrun::relay {
namespace {

// Descriptors for all but connections: the loop's own, listeners, the upstream, the state file.
constexpr rlim_t kReserved = 64;
constexpr std::int64_t kMostMs = 60'000;

net::Tcp::endpoint Address(const std::string& option, const std::string& text) {
  const auto address = net::ParseAddress(text);
  if (!address) throw OptionsError(option + " '" + text + "': not an address with a port");
  return *address;
}

std::size_t MostConnections() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return Server::Limits().connections;
  if (limit.rlim_cur == RLIM_INFINITY) return std::numeric_limits<std::int32_t>::max();
  return static_cast<std::size_t>(std::max(limit.rlim_cur, 2 * kReserved) - kReserved);
}

}  // namespace

bool ParseOptions(const std::vector<std::string>& arguments, Config& config) {
  CLI::App app("The fan-out tier of discovery: one watch upstream, many downstream.", "rookhub_relay");
  std::vector<std::string> listen;
  std::string upstream;
  std::string state;
  std::int64_t batch = config.batch.count();
  std::int64_t longest_wait = config.limits.whole_lists.longest_wait.count();
  Config read = config;
  app.add_option("--listen", listen, "address to serve at; more than one may be given")
      ->required()
      ->expected(1)
      ->take_all();
  app.add_option("--upstream", upstream, "address of discovery, or of the relay above")->required();
  app.add_option("--state", state, "file that keeps the list over a restart");
  app.add_option("--batch-ms", batch, "changes that come within it are told as one")
      ->check(CLI::Range(std::int64_t{0}, kMostMs));
  app.add_option("--whole-lists", read.limits.whole_lists.sent_at_once, "whole lists being sent at once")
      ->check(CLI::Range(1, 1'000'000));
  app.add_option("--waiting", read.limits.whole_lists.waiting, "calls that may wait for a whole list")
      ->check(CLI::Range(0, 1'000'000));
  app.add_option("--longest-wait-ms", longest_wait, "the wait for it, then 503")
      ->check(CLI::Range(std::int64_t{0}, kMostMs));
  app.add_option("--history", read.history, "removed entries that are remembered")
      ->check(CLI::Range(0, 100'000'000));
  app.add_option("--seed", read.seed, "of the jitter");
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
  for (const std::string& text : listen) read.listen.push_back(Address("--listen", text));
  read.upstream = Address("--upstream", upstream);
  read.state = state;
  read.batch = std::chrono::milliseconds(batch);
  read.limits.whole_lists.longest_wait = std::chrono::milliseconds(longest_wait);
  read.limits.connections = MostConnections();
  config = std::move(read);
  return true;
}

}  // namespace merlinrun::relay
