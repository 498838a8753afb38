#include "graceful_shutdown.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

namespace merlinrun::net {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// New connections still arrive for up to 0.4 s after SIGTERM, so the listener stays open a little longer.
constexpr milliseconds kAcceptTime{550};
// Then the connections that were accepted last have this long to send a request.
constexpr milliseconds kFirstRequestTime{150};
// The process is killed 0.7 s after the longest deadline, of which at most 3 s are counted.
constexpr microseconds kMaxDeadline = std::chrono::seconds(3);
constexpr milliseconds kDeadlineSlack{250};
// On a shared listener the next process accepts new connections. Only kept-alive connections that have been
// idle this long are closed: a client is unlikely to use one of them next, so the close rarely crosses a
// request.
constexpr Micros kIdleAfterTakeover = 300'000;
constexpr milliseconds kAnswerReadTime{300};  // for clients to read the answers written last
constexpr milliseconds kPollInterval{20};

microseconds RequestTime(Micros longest_deadline) {
  const microseconds deadline =
      longest_deadline > 0 ? std::min(microseconds(longest_deadline), kMaxDeadline) : kMaxDeadline;
  return deadline + kDeadlineSlack;
}

}  // namespace

GracefulShutdown::GracefulShutdown(asio::io_context& io, Inbound& inbound, Settings settings,
                                   PendingRequests requests, std::function<void()> done)
    : inbound_(inbound),
      settings_(settings),
      requests_(std::move(requests)),
      done_(std::move(done)),
      requests_end_(Clock::now() + RequestTime(settings.longest_deadline)),
      answers_read_end_(requests_end_ + kAnswerReadTime),
      timer_(io) {
  inbound_.Drain();
  if (settings_.shared_listener) {
    inbound_.StopAccepting();
    After(microseconds(0), &GracefulShutdown::Poll);
  } else {
    After(kAcceptTime, &GracefulShutdown::StopAccepting);
  }
}

void GracefulShutdown::After(microseconds delay, void (GracefulShutdown::*next)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, next](ErrorCode error) {
    if (!error) (this->*next)();
  });
}

void GracefulShutdown::StopAccepting() {
  inbound_.StopAccepting();
  After(kFirstRequestTime, &GracefulShutdown::Poll);
}

void GracefulShutdown::Poll() {
  const auto now = Clock::now();
  const bool over = now >= requests_end_;
  if (over) requests_.expire();
  if (over || !settings_.shared_listener) {
    inbound_.CloseIdle(0, 0);
  } else {
    inbound_.CloseIdle(kIdleAfterTakeover, Inbound::Limits{}.request_timeout);
  }
  const bool answered = requests_.empty() && inbound_.unanswered_requests() == 0;
  if (!over || !answered) answers_read_end_ = now + kAnswerReadTime;
  if (answered && (inbound_.sessions() == 0 || now >= answers_read_end_))
    return std::exchange(done_, nullptr)();
  After(kPollInterval, &GracefulShutdown::Poll);
}

}  // namespace merlinrun::net
