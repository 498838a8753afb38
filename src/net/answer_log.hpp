// Logs, at most once a second, how many requests ended without a successful answer and why.
#ifndef MERLINRUN_NET_ANSWER_LOG_HPP_
#define MERLINRUN_NET_ANSWER_LOG_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <string_view>

#include "counters.hpp"
#include "pending_requests.hpp"
#include "protocol.hpp"

namespace merlinrun::net {

// Counts unsuccessful requests by reason. Each line also tells how many requests were accepted since the last
// one, how many are in work and how many are kept in memory. Nothing is logged while there are none.
class AnswerLog {
 public:
  // `counters` and `pending` must outlive the log.
  AnswerLog(asio::io_context& io, const Counters& counters, const PendingRequests& pending)
      : timer_(io), counters_(counters), pending_(pending) {}

  // Counts a request without a successful answer. `reason` must be a string constant; a line break at its end
  // is left out.
  void CountUnsuccessful(const char* reason);

 private:
  void Write();

  asio::steady_timer timer_;
  const Counters& counters_;
  const PendingRequests& pending_;
  std::map<std::string_view, int> unsuccessful_;  // by reason, since the last line
  std::uint64_t started_by_last_line_ = 0;        // requests started until the last line
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_ANSWER_LOG_HPP_
