#include "sidecar.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "trace.hpp"

namespace merlinrun::net {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

// Descriptors for all but clients and servers: standard streams, epoll and its helpers, listener, watch, and
// the connections that are being turned away.
constexpr std::size_t kOtherSockets = 32;
// The clients' part of the rest. They use a third of all at most for requests, and some of theirs are idle; a
// request in work takes one of each side.
constexpr double kClientShare = 0.55;
// The part of the memory that bodies and answers may hold; the rest is for the program, what connections hold
// beside bodies, lists of servers and what the allocator leaves unused.
constexpr std::size_t kBudgetShare = 5;
// Idle connections are closed this far into the time after which servers may close them. Guards against a
// request that crosses the server's close: it would be reset and may have run.
constexpr double kIdleShare = 0.7;
// A final answer leaves this long before the client gives up, as other sidecars share the core and a busy
// loop is late; a short budget gives up no more than this part of itself.
constexpr Micros kAnswerMargin = 40 * kMs;
constexpr double kMostMarginShare = 0.2;
// After SIGTERM: connections still come for up to 0.4 s.
constexpr Micros kAcceptAfterDrain = 550 * kMs;
constexpr Micros kIdleAfterDrain = 150 * kMs;  // and then so long for what was accepted last to speak
// The kill comes 0.7 s after the longest deadline, taken as 3 s where it is longer.
constexpr Micros kMostDeadline = 3 * kSecond;
constexpr Micros kDrainSlack = 250 * kMs;
// Of a shared listener the next process takes what comes. A kept connection that has been idle for so long is
// hardly the one that its client uses next: guards against a close that crosses a request.
constexpr Micros kIdleAfterTakeover = 300 * kMs;
constexpr Micros kLastWords = 300 * kMs;  // for the answers given at that moment to be read
constexpr Micros kDrainPoll = 20 * kMs;
// A body that comes in pieces may take so long in all; what it has to move at is the connections' affair.
constexpr Micros kMostUpload = 600 * kSecond;
// How often what is shared with another process is looked at: what it has done holds here within 1 s.
constexpr auto kLookEvery = std::chrono::milliseconds(200);
constexpr int kLooksToLeave = 5;  // looks from one leaving of what has been learnt to the next
// The log says at most once in so long which answers were no success, and nothing while all are.
constexpr auto kLogEvery = std::chrono::seconds(1);

const char* FailedAfter(Result last) {
  switch (last) {
    case Result::kSuccess:
      return "failed after an answer";
    case Result::kError:
      return "failed after an error";
    case Result::kRefused:
      return "failed after a refusal";
    case Result::kTimeout:
      return "failed after a timeout";
    case Result::kUnreachable:
      return "failed after no connection";
    case Result::kReset:
      return "failed after a reset";
    case Result::kCancelled:
      return "failed after a cancel";
    case Result::kNeverSent:
      return "failed unsent";
  }
  return "failed";
}

std::string Seconds(Micros time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time) / static_cast<double>(kSecond));
  return text;
}

// The query parameter that says what a request is about; empty if it has none.
std::string_view KeyOf(std::string_view target) {
  const std::string name = std::string(kKeyParameter) + "=";
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = target.substr(at + 1);
    const std::string_view pair = rest.substr(0, rest.find('&'));
    if (pair.substr(0, name.size()) == name) return pair.substr(name.size());
    at = target.find('&', at + 1);
  }
  return {};
}

std::size_t ClientSockets(const Config& config) {
  return static_cast<std::size_t>(kClientShare *
                                  static_cast<double>(config.descriptor_limit - kOtherSockets));
}

Upstream::Limits UpstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.keep_idle =
      static_cast<Micros>(kIdleShare * static_cast<double>(config.wire.settings.connection_idle));
  limits.dial_timeout = config.wire.settings.dial_timeout;
  limits.connections = config.descriptor_limit - kOtherSockets - ClientSockets(config);
  return limits;
}

Discovery::Timing DiscoveryTiming(const Config& config) {
  Discovery::Timing timing;
  timing.reopens_itself = !config.wire.settings.must_subscribe;
  return timing;
}

// Unix time and the steady clock compared once: the steady one alone moves afterwards. Were the difference
// taken anew for each list, one start would be mapped to ever new times, and the module takes a new time for
// a new start, with a cold server.
Micros ClockOffset() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(wall - steady).count();
}

}  // namespace

bool Sidecar::Call::AnyOut() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

Sidecar::Sidecar(asio::io_context& io, Config config)
    : io_(io),
      config_(std::move(config)),
      shared_(config_.accept_fd || config_.management ? config_.shared_dir : ""),
      clock_offset_(ClockOffset()),
      budget_(config_.memory_limit / kBudgetShare),
      counters_(config_.wire.settings.classes.size()),
      upstream_(io, UpstreamLimits(config_), budget_, counters_),
      discovery_(io, config_.discovery, config_.wire, DiscoveryTiming(config_), config_.seed,
                 {[this](const EndpointList& list) {
                    OnList(list.full ? ListUpdate::Kind::kFull : ListUpdate::Kind::kDelta, list);
                  },
                  [this](Micros within) { OnDiscoveryFailed(within); },
                  /*on_object=*/{}, [this] { OnDiscoveryHeard(); }}),
      drain_timer_(io),
      look_timer_(io),
      log_timer_(io) {
  if (config_.accept_fd) shared_.AcquirePresenceLock();
  config_.wire.settings.takes_over = shared_.Scan().other_process_alive;
  std::string error;
  balancer_ = Balancer::Create(config_.wire.settings, config_.seed, Now(), *this, error);
  if (balancer_ == nullptr) throw ConfigError("settings: " + error);
}

Sidecar::~Sidecar() = default;

void Sidecar::Start() {
  Inbound::Events events;
  events.on_request = [this](const Inbound::SessionPtr& session, Message<true> request) {
    OnRequest(session, std::move(request));
  };
  events.on_gone = [this](const std::string& id) { OnClientGone(id); };
  events.on_turned_away = [this](const RequestHeader& header) { OnTurnedAway(header); };
  events.ready = [this] { return Ready(); };
  Inbound::Limits limits;
  limits.sessions = ClientSockets(config_);
  inbound_ =
      std::make_unique<Inbound>(io_, config_.listen, config_.accept_fd, limits, budget_, std::move(events));
  if (config_.management) {
    ManagementEndpoint::Handlers handlers;
    handlers.ready = [this] { return Ready(); };
    handlers.stats = [this] { return Figures(); };
    handlers.set_admin_down = [this](const std::string& server, bool out) { return OnBan(server, out); };
    management_ = std::make_unique<ManagementEndpoint>(io_, *config_.management, ManagementEndpoint::Limits{},
                                                       std::move(handlers));
  }
  OnList(ListUpdate::Kind::kStale, config_.last_known_list);
  discovery_.SetKnownGeneration(
      config_.last_known_list.endpoints.empty() ? Discovery::kUnknown : config_.last_known_list.generation);
  if (config_.wire.settings.takes_over && !balancer_->RestoreLearnedState(Now(), shared_.ReadHandover()))
    std::fprintf(stderr, "shared folder: nothing to be learnt from the process before this one\n");
  if (!config_.wire.settings.must_subscribe) discovery_.Watch();
  if (config_.accept_fd || config_.management) Look();
}

void Sidecar::Reload(const Config& config) { discovery_.SwitchTo(config.discovery); }

// ---- What operators ask ----

bool Sidecar::Ready() const { return drain_end_ == 0 && upstream_.any_server(); }

std::string Sidecar::Figures() {
  nlohmann::ordered_json figures;
  const auto by_class = [&](const char* name, std::uint64_t Counters::Class::*count) {
    nlohmann::ordered_json& counts = figures[name] = nlohmann::ordered_json::object();
    for (std::size_t i = 0; i < config_.class_names.size(); ++i)
      counts[config_.class_names[i]] = counters_.classes()[i].*count;
  };
  by_class("passed", &Counters::Class::served);
  by_class("dropped", &Counters::Class::refused);
  by_class("bad_gateway", &Counters::Class::failed);
  figures["upstream_tries"] = counters_.attempts();
  figures["in_progress"] = counters_.open();
  figures["known_servers"] = upstream_.known_servers();
  figures["skipped_servers"] = balancer_->servers_avoided(Now());
  return figures.dump() + "\n";
}

// The record comes before the yes: what has been promised outlives this process.
ManagementEndpoint::Reply Sidecar::OnBan(const std::string& server, bool out) {
  if (ever_listed_.count(server) == 0) return {http::status::not_found, "never listed\n"};
  if (!(out ? shared_.RecordAdminDown(server) : shared_.ClearAdminDown(server)))
    return {http::status::service_unavailable, "it cannot be recorded; nothing is changed\n"};
  SetBan(server, out);
  return {http::status::ok, out ? "out\n" : "back\n"};
}

void Sidecar::SetBan(const std::string& server, bool out) {
  if (out == (banned_.count(server) > 0)) return;
  if (out) {
    banned_.insert(server);
    ever_listed_.insert(server);
  } else {
    banned_.erase(server);
  }
  std::fprintf(stderr, "by hand: %s %s, %zu out now\n", out ? "out" : "back", SanitizeForLog(server).c_str(),
               banned_.size());
  balancer_->SetAdminDown(Now(), server, out);
  upstream_.SetOut(server, out);
}

// ---- The clock and the list ----

Micros Sidecar::Now() const {
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return clock_offset_ + std::chrono::duration_cast<std::chrono::microseconds>(steady).count();
}

void Sidecar::OnList(ListUpdate::Kind kind, const EndpointList& list) {
  EndpointList applied = list;
  applied.full = kind != ListUpdate::Kind::kDelta;
  upstream_.Apply(applied);
  std::vector<ServerInfo> servers;
  servers.reserve(list.endpoints.size());
  for (const Endpoint& endpoint : list.endpoints) {
    servers.push_back(endpoint.info);
    if (management_ != nullptr) ever_listed_.insert(endpoint.info.id);
  }
  balancer_->OnServers(Now(), {kind, list.generation, servers});
  if (kind != ListUpdate::Kind::kStale) balancer_->OnListStaleness(Now(), std::nullopt);
}

// Tells the module from when on changes bind that were not heard. A watch that has not said anything yet, or
// a list that is still coming in, changes nothing.
void Sidecar::OnListAging() {
  const auto binds = discovery_.missed_changes_take_effect_at();
  if (!binds) return balancer_->OnListStaleness(Now(), std::nullopt);
  const auto left =
      std::chrono::duration_cast<std::chrono::microseconds>(*binds - std::chrono::steady_clock::now());
  balancer_->OnListStaleness(Now(), Now() + left.count(), discovery_.missed_changes());
}

void Sidecar::OnDiscoveryHeard() {
  if (!discovery_.missed_changes_take_effect_at()) balancer_->OnListStaleness(Now(), std::nullopt);
}

void Sidecar::OnDiscoveryFailed(Micros within) {
  OnListAging();
  if (!config_.wire.settings.must_subscribe) return;
  ListUpdate update{ListUpdate::Kind::kFailed, 0, {}};
  update.ask_within = within;
  balancer_->OnServers(Now(), update);
}

// ---- A request's life ----

std::optional<Rejection> Sidecar::Check(const RequestHeader& request, int request_class) const {
  if (request_class < 0) return Rejection{http::status::not_found, "unknown Req-Kind\n"};
  if (calls_.count(std::string(ToStringView(request[kIdHeader]))) > 0)
    return Rejection{http::status::conflict, "Req-Id is in use\n"};
  return CheckAgainstClass(request,
                           config_.wire.settings.classes[static_cast<std::size_t>(request_class)].repeat);
}

// How long there is for the final answer: what the client says, its class's deadline at most.
Micros Sidecar::BudgetOf(const RequestHeader& request, std::size_t request_class) const {
  Micros budget = config_.wire.settings.classes[request_class].deadline;
  if (const auto seconds = ParseDecimal(ToStringView(request[kDeadlineHeader]))) {
    const auto told = static_cast<Micros>(*seconds * static_cast<double>(kSecond));
    budget = budget > 0 ? std::min(budget, told) : told;
  }
  budget -= std::min(kAnswerMargin, static_cast<Micros>(kMostMarginShare * static_cast<double>(budget)));
  return drain_end_ > 0 ? std::clamp<Micros>(drain_end_ - Now(), 0, budget) : budget;
}

void Sidecar::OnRequest(const Inbound::SessionPtr& session, Message<true> request) {
  const std::string id(ToStringView(request.head[kIdHeader]));
  const int request_class = ClassIndex(ToStringView(request.head[kClassHeader]));
  if (const auto rejection = Check(request.head, request_class)) {
    Note(rejection->text);
    TraceRequest(id, "rejected", [&] { return SanitizeForLog(rejection->text); });
    return Inbound::Reject(session, *rejection);
  }
  const Micros now = Now();
  const Micros budget = BudgetOf(request.head, static_cast<std::size_t>(request_class));
  TraceRequest(id, "taken", [&] { return "budget " + Seconds(budget); });

  counters_.Take(static_cast<std::size_t>(request_class));
  Call& call = calls_[id];
  call.request_class = static_cast<std::size_t>(request_class);
  call.request = std::move(request);
  call.partial = call.request.rest != nullptr;
  call.session = session;
  call.deadline = now + (call.partial ? kMostUpload : budget);
  call.timer = std::make_unique<asio::steady_timer>(io_);
  Watch(id, call);

  merlinrun::Request in;
  in.id = id;
  in.request_class = request_class;
  const auto& head = call.request.head;
  in.tenant = TenantIndex(ToStringView(head[kTenantHeader]));
  in.budget = budget;
  in.body_pending = call.partial;
  in.repeated = head[kRepeatHeader] == "1";
  in.write = head.method() != http::verb::get;
  if (const auto cost = ParseDecimal(ToStringView(head[kCostHeader])); cost && *cost < 1e12)
    in.cost = static_cast<Micros>(*cost);
  const std::string key(KeyOf(ToStringView(head.target())));
  in.key = key;
  balancer_->OnRequest(now, in);
  EraseIfOver(id);
}

void Sidecar::OnClientGone(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  if (std::exchange(it->second.session, nullptr) != nullptr)
    counters_.Finish(it->second.request_class, Counters::End::kClientGone);
  Note("left by the client");
  TraceRequest(id, "left by the client");
  balancer_->OnClientDisconnected(Now(), id);
  EraseIfOver(id);
}

void Sidecar::OnAnswer(const std::string& id, int attempt, UpstreamAnswer answer) {
  const auto it = calls_.find(id);
  const bool wanted = it != calls_.end() && it->second.session != nullptr;
  const Result result = answer.result;
  const LoadReport load = answer.load;
  if (result == Result::kSuccess && wanted) {
    PassOn(it->second, std::move(answer));
  } else if (answer.message.rest != nullptr) {
    answer.message.rest->Stop();
  }
  Conclude(id, attempt, result, load);
}

// The last byte of a request that came in pieces has been written to a server: its times begin.
void Sidecar::OnSent(const std::string& id, int number) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || !std::exchange(it->second.partial, false)) return;
  Call& call = it->second;
  Attempt& attempt = call.attempts[static_cast<std::size_t>(number)];
  const Micros now = Now();
  const Micros budget = BudgetOf(call.request.head, call.request_class);
  call.deadline = now + budget;
  attempt.sent = now;
  attempt.expires = attempt.timeout > 0 ? std::min(call.deadline, now + attempt.timeout) : call.deadline;
  Watch(id, call);
  balancer_->OnRequestBodyComplete(now, id, budget);
}

// Tells the module, once, what became of an attempt.
void Sidecar::Conclude(const std::string& id, int attempt, Result result, const LoadReport& load) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Attempt& ended = it->second.attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(ended.out, false)) return;
  ended.result = result;
  TraceRequest(id, "attempt ended", [&] { return std::to_string(attempt) + " " + ResultName(result); });
  const Micros now = Now();
  Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.result = result;
  outcome.elapsed = std::max<Micros>(now - ended.sent, 0);
  outcome.final_answer_sent = it->second.session == nullptr;
  outcome.body_consumed = it->second.spent;
  outcome.load = load;
  balancer_->OnOutcome(now, outcome);
  EraseIfOver(id);
}

// A usual request that there was no room to hear: refused, and counted as such.
void Sidecar::OnTurnedAway(const RequestHeader& header) {
  const int request_class = ClassIndex(ToStringView(header[kClassHeader]));
  Note("out of memory for requests");
  if (request_class < 0) return;
  counters_.Take(static_cast<std::size_t>(request_class));
  counters_.Finish(static_cast<std::size_t>(request_class), Counters::End::kRefused);
}

void Sidecar::Answer(Call& call, Counters::End end, HttpResponse response) {
  counters_.Finish(call.request_class, end);
  Inbound::Respond(std::exchange(call.session, nullptr), Inbound::Whole(std::move(response)));
}

// A server's answer. One that goes on in pieces has ended when the last of them has gone.
void Sidecar::PassOn(Call& call, UpstreamAnswer answer) {
  TraceRequest(ToStringView(call.request.head[kIdHeader]), "answered");
  Inbound::Reply reply;
  reply.message.head.result(http::status::ok);
  if (const auto type = answer.message.head[http::field::content_type]; !type.empty())
    reply.message.head.set(http::field::content_type, type);
  reply.message.held = std::move(answer.message.held);
  reply.message.rest = std::move(answer.message.rest);
  reply.message.length = answer.message.length;
  reply.charge = std::move(answer.charge);
  if (reply.message.rest == nullptr) {
    counters_.Finish(call.request_class, Counters::End::kServed);
  } else {
    reply.done = [this, request_class = call.request_class](Inbound::Sent sent) {
      if (sent == Inbound::Sent::kBroken) Note("failed in the middle of an answer");
      counters_.Finish(request_class, sent == Inbound::Sent::kWhole    ? Counters::End::kServed
                                      : sent == Inbound::Sent::kBroken ? Counters::End::kFailed
                                                                       : Counters::End::kClientGone);
    };
  }
  Inbound::Respond(std::exchange(call.session, nullptr), std::move(reply));
}

void Sidecar::Note(const char* why) {
  std::string_view text(why);
  if (text.back() == '\n') text.remove_suffix(1);
  ++noted_[text];
  if (noted_.size() > 1 || noted_[text] > 1) return;
  log_timer_.expires_after(kLogEvery);
  log_timer_.async_wait([this](ErrorCode error) {
    if (!error) LogAnswers();
  });
}

void Sidecar::LogAnswers() {
  std::string kinds;
  for (const auto& [why, count] : noted_) {
    kinds += kinds.empty() ? "" : ", ";
    kinds.append(why).append(" ").append(std::to_string(count));
  }
  const std::uint64_t taken = counters_.taken();
  std::fprintf(stderr, "answers: requests %llu, in work %zu; %s\n",
               static_cast<unsigned long long>(taken - std::exchange(logged_, taken)), counters_.open(),
               kinds.c_str());
  noted_.clear();
}

// Sets the call's timer to what is due next: the end of an attempt, or the answer itself.
void Sidecar::Watch(const std::string& id, Call& call) {
  Micros due = call.deadline;
  for (const Attempt& attempt : call.attempts)
    if (attempt.out) due = std::min(due, attempt.expires);
  call.timer->expires_after(std::chrono::microseconds(std::max<Micros>(due - Now(), 0)));
  call.timer->async_wait([this, id](ErrorCode error) {
    if (!error) OnDue(id);
  });
}

void Sidecar::OnDue(const std::string& id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const Micros now = Now();
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    const Attempt& attempt = it->second.attempts[i];
    if (!attempt.out || now < attempt.expires) continue;
    upstream_.GiveUp(attempt.upstream);
    Conclude(id, static_cast<int>(i), Result::kTimeout);
    it = calls_.find(id);
    if (it == calls_.end()) return;
  }
  if (now >= it->second.deadline && it->second.session != nullptr) {
    // The module ends requests before this. Guards against a client that gets no answer should it not.
    Note("out of time");
    TraceRequest(id, "failed", [] { return std::string("out of time"); });
    Answer(it->second, Counters::End::kFailed, Plain(http::status::gateway_timeout, "out of time\n"));
    balancer_->OnClientDisconnected(now, id);
    return EraseIfOver(id);
  }
  if (now < it->second.deadline) Watch(id, it->second);
}

void Sidecar::EraseIfOver(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.session != nullptr || it->second.AnyOut()) return;
  calls_.erase(it);
}

// Guards against an attempt for a client that left while its request waited, in the accept queue, behind
// another, for a retry or for a connection, where nobody has come to notice it.
bool Sidecar::Wanted(const Call& call) {
  return call.session != nullptr && !Inbound::ClientLeft(call.session);
}

const char* Sidecar::WhyNotSent(const Call& call) {
  if (!Wanted(call)) return "client left";
  return call.spent ? "body spent" : "out of time";
}

// What the protocol names and nothing else: whatever else came along may mean something to a server.
Message<true> Sidecar::Forwarded(const Call& call, Micros left) {
  Message<true> out;
  const auto& in = call.request.head;
  out.head.method(in.method());
  out.head.target(in.target());
  out.head.version(11);
  for (const char* name : kRequestHeaders)
    if (const auto it = in.find(name); it != in.end()) out.head.set(name, it->value());
  out.head.set(kDeadlineHeader, Seconds(left));
  out.held = call.request.held;
  out.rest = call.request.rest;
  if (out.rest != nullptr) out.length = call.request.length;
  return out;
}

int Sidecar::ClassIndex(std::string_view name) const {
  // Two names may be one on the wire: each is its own class all the same.
  const auto own = std::find(config_.class_names.begin(), config_.class_names.end(), name);
  if (own != config_.class_names.end()) return static_cast<int>(own - config_.class_names.begin());
  const auto& classes = config_.wire.settings.classes;
  const std::string wire_name = ToWireName(name);
  const auto it = std::find_if(classes.begin(), classes.end(),
                               [&](const RequestClass& c) { return c.name == wire_name; });
  return it == classes.end() ? -1 : static_cast<int>(it - classes.begin());
}

int Sidecar::TenantIndex(std::string_view name) const {
  const auto& tenants = config_.wire.settings.tenants;
  const std::string wire_name = ToWireName(name);
  const auto it =
      std::find_if(tenants.begin(), tenants.end(), [&](const Tenant& t) { return t.name == wire_name; });
  return it == tenants.end() ? -1 : static_cast<int>(it - tenants.begin());
}

// ---- The module's actions; none of them may call it back ----

void Sidecar::Send(std::string_view request, const std::string& server, Micros timeout) {
  const std::string id(request);
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  const Micros now = Now();
  const int number = static_cast<int>(call.attempts.size());
  Attempt attempt;
  attempt.sent = now;
  attempt.timeout = timeout;
  attempt.expires = timeout > 0 && !call.partial ? std::min(call.deadline, now + timeout) : call.deadline;
  if (!Wanted(call) || call.spent || now >= attempt.expires) {
    TraceRequest(id, "not sent", [&] { return std::string(WhyNotSent(call)); });
    call.attempts.push_back(attempt);
    asio::post(io_, [this, id, number] { Conclude(id, number, Result::kNeverSent); });
    return;
  }
  Upstream::Events events;
  events.done = [this, id, number](UpstreamAnswer answer) { OnAnswer(id, number, std::move(answer)); };
  events.wanted = [this, id] {
    const auto dialed = calls_.find(id);
    return dialed != calls_.end() && Wanted(dialed->second) && !balancer_->DispatchPaused(Now());
  };
  if (call.partial) {
    events.drawn = [this, id] {
      const auto drawn = calls_.find(id);
      if (drawn == calls_.end()) return;
      drawn->second.spent = true;
      drawn->second.request.held.reset();
      drawn->second.request.rest.reset();
    };
    events.sent = [this, id, number] { OnSent(id, number); };
  }
  const Micros left = call.partial ? BudgetOf(call.request.head, call.request_class) : attempt.expires - now;
  TraceRequest(id, "sent",
               [&] { return std::to_string(number) + " to " + server + " within " + Seconds(left); });
  attempt.upstream = upstream_.Send(server, Forwarded(call, left), std::move(events));
  call.attempts.push_back(attempt);
  if (attempt.expires < call.deadline) Watch(id, call);
}

void Sidecar::Cancel(std::string_view request, int attempt) {
  const std::string id(request);
  const auto it = calls_.find(id);
  if (it == calls_.end() || attempt < 0 || static_cast<std::size_t>(attempt) >= it->second.attempts.size())
    return;
  upstream_.GiveUp(it->second.attempts[static_cast<std::size_t>(attempt)].upstream);
  asio::post(io_, [this, id, attempt] { Conclude(id, attempt, Result::kCancelled); });
}

void Sidecar::Refuse(std::string_view request, Micros retry_after) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.session == nullptr) return;
  Note(it->second.attempts.empty() ? "refused unsent" : "refused after attempts");
  TraceRequest(request, "refused");
  HttpResponse response = Plain(http::status::service_unavailable, "refused\n");
  if (retry_after > 0) response.set(http::field::retry_after, Seconds(retry_after));
  Answer(it->second, Counters::End::kRefused, std::move(response));
}

void Sidecar::Fail(std::string_view request) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.session == nullptr) return;
  const auto& attempts = it->second.attempts;
  Note(FailedAfter(attempts.empty() ? Result::kNeverSent : attempts.back().result));
  TraceRequest(request, "failed");
  Answer(it->second, Counters::End::kFailed, Plain(http::status::bad_gateway, "failed\n"));
}

void Sidecar::SetTimer(Micros delay, std::uint64_t token) {
  const auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(std::max<Micros>(delay, 0)));
  timer->async_wait([this, timer, token](ErrorCode error) {
    if (!error) balancer_->OnTimer(Now(), token);
  });
}

void Sidecar::Subscribe() {
  asio::post(io_, [this] { discovery_.Watch(); });
}

void Sidecar::Log(std::string_view text) {
  std::fprintf(stderr, "module: %.*s\n", static_cast<int>(std::min<std::size_t>(text.size(), 400)),
               text.data());
}

// ---- A new version beside this one, and the end ----

void Sidecar::LookLater() {
  look_timer_.expires_after(kLookEvery);
  look_timer_.async_wait([this](ErrorCode error) {
    if (!error) Look();
  });
}

// Two processes of one sidecar have one sidecar's memory and descriptors. What clients use at once is bounded
// by them, whichever process serves it, so each may still hold that; idle connections are what has to go.
void Sidecar::Look() {
  const SharedDir::Contents view = shared_.Scan();
  if (view.other_process_alive != std::exchange(others_, view.other_process_alive)) {
    const std::size_t parts = others_ ? 2 : 1;
    budget_.SetMost(config_.memory_limit / kBudgetShare / parts);
    inbound_->KeepAtMost(ClientSockets(config_) / parts);
    upstream_.KeepAtMost(UpstreamLimits(config_).connections / parts);
  }
  if (view.readable) {
    for (const std::string& server : std::set<std::string>(banned_))
      if (view.admin_down.count(server) == 0) SetBan(server, false);
    for (const std::string& server : view.admin_down) SetBan(server, true);
  }
  // What has been learnt is left for the next process; while two live, the one that was there first has done
  // so.
  if (config_.accept_fd && !others_ && looks_++ % kLooksToLeave == 0)
    shared_.WriteHandover(balancer_->ExportLearnedState());
  if (config_.accept_fd) LookLater();  // else there is no other process
}

void Sidecar::Drain(std::function<void()> finished) {
  if (drain_end_ > 0) return;
  finished_ = std::move(finished);
  Micros longest = 0;
  for (const RequestClass& c : config_.wire.settings.classes) longest = std::max(longest, c.deadline);
  drain_end_ = Now() + (longest > 0 ? std::min(longest, kMostDeadline) : kMostDeadline) + kDrainSlack;
  inbound_->Drain();
  if (config_.accept_fd) {
    inbound_->StopAccepting();
    return WindDown();
  }
  drain_timer_.expires_after(std::chrono::microseconds(kAcceptAfterDrain));
  drain_timer_.async_wait([this](ErrorCode error) {
    if (error) return;
    inbound_->StopAccepting();
    drain_timer_.expires_after(std::chrono::microseconds(kIdleAfterDrain));
    drain_timer_.async_wait([this](ErrorCode stopped) {
      if (!stopped) WindDown();
    });
  });
}

// Guards against ending with answers still unsent: each session goes when its client has read its answer.
void Sidecar::WindDown() {
  const Micros now = Now();
  const bool over = now >= drain_end_;
  if (over && !std::exchange(hurried_, true)) HurryCalls();
  if (over || !config_.accept_fd) {
    inbound_->CloseIdle(0, 0);
  } else {
    inbound_->CloseIdle(kIdleAfterTakeover, Inbound::Limits{}.request);
  }
  if (calls_.empty() && (inbound_->sessions() == 0 || now >= drain_end_ + kLastWords))
    return std::exchange(finished_, nullptr)();
  drain_timer_.expires_after(std::chrono::microseconds(kDrainPoll));
  drain_timer_.async_wait([this](ErrorCode error) {
    if (!error) WindDown();
  });
}

// Ends what would outlast the time before the kill: an answer now, if only a failure, is better than none.
void Sidecar::HurryCalls() {
  std::vector<std::string> ids;
  for (auto& [id, call] : calls_) {
    call.deadline = drain_end_;
    for (Attempt& attempt : call.attempts) attempt.expires = std::min(attempt.expires, drain_end_);
    ids.push_back(id);
  }
  for (const std::string& id : ids) OnDue(id);
}

}  // namespace merlinrun::net
