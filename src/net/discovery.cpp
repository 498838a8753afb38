#include "discovery.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "object_splitter.hpp"
#include "socket_state.hpp"

namespace merlinrun::net {
namespace {

constexpr std::size_t kMaxObjectSize = std::size_t{4} * 1024 * 1024;  // some 20,000 servers
// The list that a process is started with is older than the process by about this much.
constexpr Micros kInitialListAge = 1'500'000;

std::chrono::microseconds ToDuration(Micros time) { return std::chrono::microseconds(time); }

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

ListAge::Timing AgeTiming(const Discovery::Timing& timing) {
  return {timing.missed_change_delay, timing.switch_delay, /*pushed=*/timing.reopens_itself};
}

}  // namespace

// One call, from its connection to its end: for the full list or for a watch. Reports its end to the owner
// once, unless it is cancelled first.
class Discovery::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(Discovery& owner, std::uint64_t number)
      : owner_(&owner), number_(number), began_(Clock::now()), tcp_(owner.io_) {}

  void Open() {
    request_.method(http::verb::get);
    full_list_ = owner_->generation_ == kUnknown;
    request_.target(full_list_ ? "/v1/endpoints"
                               : "/v1/endpoints?stream=1&index=" + std::to_string(owner_->generation_));
    request_.set(http::field::host, "discovery");
    answer_timeout_ = owner_->age_.AnswerTimeout(began_, owner_->timing_.answer_timeout);
    tcp_.expires_after(ToDuration(std::min(owner_->timing_.connect_timeout, answer_timeout_)));
    tcp_.async_connect(owner_->address_, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->End(CallResult::kUnreachable, error.message());
      self->SendRequest();
    });
  }

  void Cancel() {
    owner_ = nullptr;
    tcp_.close();
  }

  std::uint64_t number() const { return number_; }
  Clock::time_point began() const { return began_; }
  bool full_list() const { return full_list_; }

 private:
  // Sets the timeout of the next read. Without it the call would wait forever when the network is cut: the
  // connection then stays open and silent. An object that has begun has to arrive completely within the
  // answer timeout: blank lines in the middle of it are no sign of life.
  void ExpectData() {
    last_data_at_ = Clock::now();
    if (!objects_.inside_object()) last_data_before_object_at_ = last_data_at_;
    tcp_.expires_at(std::min(last_data_at_ + ToDuration(owner_->timing_.silence_timeout),
                             last_data_before_object_at_ + ToDuration(owner_->timing_.answer_timeout)));
  }

  void SendRequest() {
    if (owner_ == nullptr) return;
    tcp_.expires_at(began_ + ToDuration(answer_timeout_));
    http::async_write(tcp_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->End(CallResult::kReset, error.message());
      self->ReadHeader();
    });
  }

  void ReadHeader() {
    if (owner_ == nullptr) return;
    // The body of a watch is unlimited. boost::none doesn't work here: Boost 1.74 then rejects any
    // Content-Length as too long.
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(tcp_, buffer_, parser_,
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                              if (error == beast::error::timeout)
                                return self->End(CallResult::kAnswerTimeout, "not answered in time");
                              if (error) return self->End(CallResult::kReset, error.message());
                              if (self->parser_.get().result() != http::status::ok)
                                return self->End(CallResult::kErrorStatus, "not answered with status 200");
                              self->ReadBody();
                            });
  }

  void ReadBody() {
    if (owner_ == nullptr) return;
    if (parser_.is_done()) return OnBodyEnd();
    ExpectData();
    auto& body = parser_.get().body();
    body.data = chunk_.data();
    body.size = chunk_.size();
    body.more = true;
    http::async_read_some(tcp_, buffer_, parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error == http::error::need_buffer) error = {};
      if (error == beast::error::timeout) return self->End(CallResult::kSilent, "silent for too long");
      if (error == asio::error::connection_reset) return self->End(CallResult::kReset, error.message());
      if (error) return self->End(CallResult::kEnded, error.message());
      self->OnChunk();
    });
  }

  // The end of a full list is normal: the watch is opened next. The end of a watch is a failure.
  void OnBodyEnd() {
    if (!full_list_) return End(CallResult::kEnded, "the watch ended");
    Discovery* const owner = owner_;
    if (owner->generation_ == kUnknown) return End(CallResult::kInvalidData, "the answer contains no list");
    owner_ = nullptr;
    tcp_.close();
    owner->Open();
  }

  void OnChunk() {
    if (owner_ == nullptr) return;
    // The data may have waited to be read, and says nothing of the list since it arrived.
    const Clock::time_point received_at = LastInputAt(tcp_.socket());
    owner_->OnData();
    if (!objects_.inside_object()) object_began_at_ = received_at;
    for (const char c : std::string_view(chunk_.data(), chunk_.size() - parser_.get().body().size)) {
      if (owner_ == nullptr) return;
      if (!objects_.Append(c)) return End(CallResult::kInvalidData, "no valid JSON");
      if (const auto object = objects_.TakeObject()) {
        object_began_at_ = received_at;
        owner_->OnObject(*this, *object);
      }
    }
    if (owner_ == nullptr) return;  // the last object was rejected
    if (objects_.size() > kMaxObjectSize) return End(CallResult::kInvalidData, "object too large");
    UpdateAge(received_at, /*received_data=*/chunk_.size() > parser_.get().body().size);
    ReadBody();
  }

  // A watch delivers changes without delay, so the list was current when its data was received, unless an
  // object is incomplete.
  void UpdateAge(Clock::time_point received_at, bool received_data) {
    ReportPartialObject(*owner_);
    if (received_data && !full_list_ && !objects_.inside_object()) owner_->age_.ConfirmCurrent(received_at);
    owner_->ReportAge();
  }

  // The list is known to be current only up to the first byte of an incomplete object.
  void ReportPartialObject(Discovery& owner) const {
    if (objects_.inside_object()) owner.age_.OnPartialObject(object_began_at_);
  }

  void End(CallResult result, const std::string& reason) {
    if (owner_ == nullptr) return;
    Discovery* const owner = std::exchange(owner_, nullptr);
    tcp_.close();
    ReportPartialObject(*owner);
    const auto self = shared_from_this();  // OnEnd releases the owner's reference to this call
    owner->OnEnd(*this, result, reason);
  }

  Discovery* owner_;  // null once the call is over
  const std::uint64_t number_;
  const Clock::time_point began_;
  Micros answer_timeout_ = 0;  // from began_ to the header of the answer
  beast::tcp_stream tcp_;
  beast::flat_buffer buffer_{kMaxUnparsed};
  http::request<http::empty_body> request_;
  http::response_parser<http::buffer_body> parser_;
  std::array<char, kReadSize> chunk_{};
  ObjectSplitter objects_;
  Clock::time_point last_data_at_;                // unset before the answer's header
  Clock::time_point last_data_before_object_at_;  // before the incomplete object
  Clock::time_point object_began_at_;             // when the first byte of the incomplete object came
  bool full_list_ = false;                        // requests the full list, not a watch
};

Discovery::Discovery(asio::io_context& io, Tcp::endpoint address, const drill::WireSettings& names,
                     Timing timing, std::uint64_t seed, Events events)
    : io_(io),
      address_(std::move(address)),
      names_(names),
      timing_(timing),
      events_(std::move(events)),
      random_(seed),
      backoff_(io),
      age_(AgeTiming(timing_), Clock::now(), kInitialListAge),
      last_data_at_(Clock::now()) {}

Discovery::~Discovery() {
  if (call_ != nullptr) call_->Cancel();
}

void Discovery::Watch() {
  if (call_ == nullptr) Open();
}

void Discovery::SwitchTo(const Tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  generation_ = kUnknown;
  failures_ = 0;
  invalid_data_logged_ = false;
  if (call_ != nullptr) std::exchange(call_, nullptr)->Cancel();
  backoff_.cancel();
  age_.OnSwitch(Clock::now());
  ReportAge();
  Open();
}

void Discovery::Open() {
  call_ = std::make_shared<Call>(*this, ++calls_);
  call_->Open();
}

void Discovery::OnData() {
  last_data_at_ = Clock::now();
  age_.OnData();
  if (events_.on_data) events_.on_data();
}

void Discovery::ReportAge() const {
  if (events_.on_age_changed) events_.on_age_changed();
}

void Discovery::OnObject(Call& call, const std::string& text) {
  std::string error = "no valid JSON";
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  const auto list = json.is_discarded() ? std::nullopt : ParseList(json, names_, error);
  if (!list) return Reject(call, error);
  if (!IsApplicable(*list)) {
    generation_ = kUnknown;
    return Reject(call, "the generation went backwards");
  }
  if (failures_ > 0)
    std::fprintf(stderr, "discovery: call %llu answered after %.3f s: version %lld, %zu entries%s\n",
                 static_cast<unsigned long long>(call.number()), SecondsSince(call.began()),
                 static_cast<long long>(list->generation), list->endpoints.size(),
                 list->full ? ", full list" : "");
  failures_ = 0;
  invalid_data_logged_ = false;
  generation_ = list->generation;
  if (call.full_list()) age_.ConfirmCurrent(call.began());
  if (events_.on_object) events_.on_object(json);
  events_.on_list(*list);
}

// Changes apply only to the list that precedes them. A lower generation comes from a discovery that has
// started from scratch, so its changes do not apply to the known list.
bool Discovery::IsApplicable(const EndpointList& list) const {
  return list.full || (generation_ != kUnknown && list.generation >= generation_);
}

void Discovery::Reject(Call& call, const std::string& reason) {
  const auto kept = std::exchange(call_, nullptr);  // `call` stays alive until this returns
  call.Cancel();
  OnEnd(call, CallResult::kInvalidData, reason);
}

void Discovery::OnEnd(const Call& call, CallResult result, const std::string& reason) {
  call_ = nullptr;
  const auto now = Clock::now();
  age_.OnCallEnd(result, call.began(), now);
  ReportAge();
  const Micros within = age_.RetryWithin(now);
  // Logged once, as every call may return the same invalid data.
  if (result == CallResult::kInvalidData && !std::exchange(invalid_data_logged_, true))
    std::fprintf(stderr, "discovery: invalid data, the list is kept unchanged: %.200s\n", reason.c_str());
  std::fprintf(
      stderr,
      "discovery: call %llu ended after %.3f s: %.100s; last list data %.3f s ago, next call within %.3f s\n",
      static_cast<unsigned long long>(call.number()), SecondsSince(call.began()), reason.c_str(),
      SecondsSince(last_data_at_), std::chrono::duration<double>(ToDuration(within)).count());
  const int failures = failures_++;
  events_.on_failed(within);
  if (!timing_.reopens_itself) return;
  // Without jitter, all sidecars would call discovery in the same instant when it comes back.
  const Micros max_wait =
      std::min({timing_.backoff_base << std::min(failures, 10), timing_.backoff_max, within});
  backoff_.expires_after(
      std::chrono::microseconds(std::uniform_int_distribution<Micros>(0, max_wait)(random_)));
  backoff_.async_wait([this](ErrorCode error) {
    if (!error) Watch();
  });
}

}  // namespace merlinrun::net
