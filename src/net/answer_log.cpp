#include "answer_log.hpp"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <string>
#include <utility>

namespace merlinrun::net {
namespace {

constexpr auto kInterval = std::chrono::seconds(1);

}  // namespace

void AnswerLog::CountUnsuccessful(const char* reason) {
  std::string_view text(reason);
  if (text.back() == '\n') text.remove_suffix(1);
  ++unsuccessful_[text];
  if (unsuccessful_.size() > 1 || unsuccessful_[text] > 1) return;
  timer_.expires_after(kInterval);
  timer_.async_wait([this](ErrorCode error) {
    if (!error) Write();
  });
}

void AnswerLog::Write() {
  std::string reasons;
  for (const auto& [reason, count] : unsuccessful_) {
    reasons += reasons.empty() ? "" : ", ";
    reasons.append(reason).append(" ").append(std::to_string(count));
  }
  const std::uint64_t started = counters_.started();
  std::fprintf(stderr, "answers: requests %llu, in work %zu, kept in memory %zu; %s\n",
               static_cast<unsigned long long>(started - std::exchange(started_by_last_line_, started)),
               counters_.in_progress(), pending_.size(), reasons.c_str());
  unsuccessful_.clear();
}

}  // namespace merlinrun::net
