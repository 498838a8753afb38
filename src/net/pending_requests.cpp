#include "pending_requests.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::net {

bool PendingRequest::HasAttemptInFlight() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const RequestAttempt& attempt) { return attempt.in_flight(); });
}

bool PendingRequest::ClientIsWaiting() const {
  return session != nullptr && !Inbound::ClientDisconnected(session) && !Inbound::ClientMayHaveLeft(session);
}

Micros PendingRequest::NextExpiry() const {
  Micros next = deadline;
  for (const RequestAttempt& attempt : attempts)
    if (attempt.in_flight()) next = std::min(next, attempt.expires_at);
  return next;
}

PendingRequest& PendingRequests::Add(const std::string& id) { return requests_[id]; }

PendingRequest* PendingRequests::Find(const std::string& id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

Inbound::SessionPtr PendingRequests::TakeSession(const std::string& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return nullptr;
  PendingRequest& request = it->second;
  Inbound::SessionPtr session = std::exchange(request.session, nullptr);
  request.message.buffered.reset();
  request.message.remaining.reset();
  FreeIfComplete(it);
  return session;
}

void PendingRequests::EndAttempt(const std::string& id, std::size_t attempt, Result result) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  it->second.attempts.at(attempt).result = result;
  FreeIfComplete(it);
}

std::vector<std::string> PendingRequests::ids() const {
  std::vector<std::string> ids;
  ids.reserve(requests_.size());
  for (const auto& [id, request] : requests_) ids.push_back(id);
  return ids;
}

void PendingRequests::FreeIfComplete(Requests::iterator request) {
  if (request->second.session == nullptr && !request->second.HasAttemptInFlight()) requests_.erase(request);
}

}  // namespace merlinrun::net
