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

namespace merlinrun::net {
namespace {

constexpr std::size_t kMostObject = std::size_t{4} * 1024 * 1024;  // some 20,000 servers
// What a process knows of the list at its start is older than the process by about this much.
constexpr Micros kKnownAge = 1'500'000;

std::chrono::microseconds Time(Micros time) { return std::chrono::microseconds(time); }

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

ListAge::Timing AgeTiming(const Discovery::Timing& timing) {
  return {timing.told_unheard, timing.told_anew, /*told_at_end=*/timing.reopens};
}

}  // namespace

// One call, from its connection to its end: for the whole list or for a watch. Reports its end once, unless
// it is stopped first.
class Discovery::Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(Discovery& owner, std::uint64_t number)
      : owner_(&owner), number_(number), began_(Clock::now()), tcp_(owner.io_) {}

  void Open() {
    request_.method(http::verb::get);
    whole_ = owner_->generation_ == kUnknown;
    request_.target(whole_ ? "/v1/endpoints"
                           : "/v1/endpoints?stream=1&index=" + std::to_string(owner_->generation_));
    request_.set(http::field::host, "discovery");
    answer_ = owner_->age_.AnswerWithin(began_, owner_->timing_.answer);
    tcp_.expires_after(Time(std::min(owner_->timing_.connect, answer_)));
    tcp_.async_connect(owner_->address_, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->End(CallEnd::kUnreachable, error.message());
      self->Ask();
    });
  }

  void Stop() {
    if (owner_ != nullptr) CutOff(*owner_, MissedChanges::kAnnounced);
    owner_ = nullptr;
    tcp_.close();
  }

  std::uint64_t number() const { return number_; }
  Clock::time_point began() const { return began_; }
  bool whole() const { return whole_; }
  bool heard() const { return heard_some_; }

 private:
  // Guards against a discovery that is cut off: such a connection stays open and silent for ever. An object
  // that has begun has to become whole in a time of its own: blank lines in its middle are no sign of life.
  void ExpectProgress() {
    heard_ = Clock::now();
    if (!objects_.inside()) begun_ = heard_;
    tcp_.expires_at(std::min(heard_ + Time(owner_->timing_.silence), begun_ + Time(owner_->timing_.answer)));
  }

  void Ask() {
    if (owner_ == nullptr) return;
    tcp_.expires_at(began_ + Time(answer_));
    http::async_write(tcp_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->End(CallEnd::kReset, error.message());
      self->ReadHeader();
    });
  }

  void ReadHeader() {
    if (owner_ == nullptr) return;
    // A watch has no end. Not boost::none: Boost 1.74 then takes any Content-Length for too long.
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    http::async_read_header(tcp_, buffer_, parser_,
                            [self = shared_from_this()](ErrorCode error, std::size_t) {
                              if (error == beast::error::timeout)
                                return self->End(CallEnd::kUnanswered, "not answered in time");
                              if (error) return self->End(CallEnd::kReset, error.message());
                              if (self->parser_.get().result() != http::status::ok)
                                return self->End(CallEnd::kRefused, "not answered with 200");
                              self->ReadBody();
                            });
  }

  void ReadBody() {
    if (owner_ == nullptr) return;
    if (parser_.is_done()) return OnBodyEnd();
    ExpectProgress();
    auto& body = parser_.get().body();
    body.data = piece_.data();
    body.size = piece_.size();
    body.more = true;
    http::async_read_some(tcp_, buffer_, parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error == http::error::need_buffer) error = {};
      if (error == beast::error::timeout) return self->End(CallEnd::kSilent, "silent");
      if (error == asio::error::connection_reset) return self->End(CallEnd::kReset, error.message());
      if (error) return self->End(CallEnd::kEnded, error.message());
      self->TakePiece();
    });
  }

  // A watch has no end of its own; a whole list has, and the watch follows upon it.
  void OnBodyEnd() {
    if (!whole_) return End(CallEnd::kEnded, "the watch ended");
    Discovery* const owner = owner_;
    if (owner->generation_ == kUnknown) return End(CallEnd::kBadInput, "no list");
    owner_ = nullptr;
    tcp_.close();
    owner->Open();
  }

  void TakePiece() {
    if (owner_ == nullptr) return;
    const auto now = Clock::now();
    heard_some_ = true;
    owner_->OnHeard();
    if (!objects_.inside()) object_began_ = now;
    for (const char c : std::string_view(piece_.data(), piece_.size() - parser_.get().body().size)) {
      if (owner_ == nullptr) return;
      if (!objects_.Take(c)) return End(CallEnd::kBadInput, "no JSON");
      if (const auto object = objects_.Whole()) {
        object_began_ = now;
        owner_->OnObject(*this, *object);
      }
    }
    if (objects_.size() > kMostObject) return End(CallEnd::kBadInput, "an object without end");
    // What a watch has to tell, it tells in time. Half an object tells nothing yet.
    const bool told = piece_.size() > parser_.get().body().size && !objects_.inside();
    if (told && !whole_) owner_->age_.Confirm(now);
    ReadBody();
  }

  // Told by half: what the owner knows of the list ends where this object began.
  void CutOff(Discovery& owner, MissedChanges unheard) const {
    if (objects_.inside()) owner.age_.CutOff(object_began_, unheard);
  }

  void End(CallEnd why, const std::string& reason) {
    if (owner_ == nullptr) return;
    Discovery* const owner = std::exchange(owner_, nullptr);
    tcp_.close();
    CutOff(*owner, why == CallEnd::kBadInput ? MissedChanges::kPossible : MissedChanges::kAnnounced);
    const auto self = shared_from_this();  // the owner lets go of it
    owner->OnEnd(*this, why, reason);
  }

  Discovery* owner_;  // null once the call is over
  const std::uint64_t number_;
  const Clock::time_point began_;
  Micros answer_ = 0;  // within which an answer has to begin
  beast::tcp_stream tcp_;
  beast::flat_buffer buffer_{kMostUnparsed};
  http::request<http::empty_body> request_;
  http::response_parser<http::buffer_body> parser_;
  std::array<char, kReadSize> piece_{};
  ObjectSplitter objects_;
  Clock::time_point heard_;         // its last word; none before its answer
  Clock::time_point begun_;         // its last word before the object that is coming in
  Clock::time_point object_began_;  // the first word of that object
  bool heard_some_ = false;         // some of its answer's body has come
  bool whole_ = false;              // asks for the whole list, not for a watch
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
      age_(AgeTiming(timing_), Clock::now(), kKnownAge),
      heard_at_(Clock::now()) {}

Discovery::~Discovery() {
  if (stream_ != nullptr) stream_->Stop();
}

void Discovery::Watch() {
  if (stream_ == nullptr) Open();
}

void Discovery::Switch(const Tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  generation_ = kUnknown;
  failures_ = 0;
  complained_ = false;
  if (stream_ != nullptr) std::exchange(stream_, nullptr)->Stop();
  backoff_.cancel();
  age_.Switched(Clock::now());
  Open();
}

std::optional<ListAge::Time> Discovery::binds_unheard() const {
  const bool watching = stream_ != nullptr && stream_->heard() && !stream_->whole();
  return watching ? std::nullopt : age_.binds();
}

void Discovery::Open() {
  stream_ = std::make_shared<Stream>(*this, ++calls_);
  stream_->Open();
}

void Discovery::OnHeard() {
  heard_at_ = Clock::now();
  age_.Heard();
  if (events_.on_heard) events_.on_heard();
}

void Discovery::OnObject(Stream& stream, const std::string& text) {
  std::string error = "no JSON";
  const auto json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  const auto list = json.is_discarded() ? std::nullopt : ParseList(json, names_, error);
  if (!list) return Drop(stream, error);
  if (!Follows(*list)) {
    generation_ = kUnknown;
    return Drop(stream, "a lower generation");
  }
  if (failures_ > 0)
    std::fprintf(stderr, "discovery: call %llu answered after %.3f s: version %lld, %zu entries%s\n",
                 static_cast<unsigned long long>(stream.number()), SecondsSince(stream.began()),
                 static_cast<long long>(list->generation), list->endpoints.size(),
                 list->whole ? ", the whole list" : "");
  failures_ = 0;
  complained_ = false;
  generation_ = list->generation;
  if (stream.whole()) age_.Confirm(stream.began());
  if (events_.on_object) events_.on_object(json);
  events_.on_list(*list);
}

// Changes build on the list before them. A lower generation is told by a discovery that has begun anew:
// guards against changes on top of a list that it does not have.
bool Discovery::Follows(const EndpointList& list) const {
  return list.whole || (generation_ != kUnknown && list.generation >= generation_);
}

void Discovery::Drop(Stream& stream, const std::string& reason) {
  const auto kept = std::exchange(stream_, nullptr);
  stream.Stop();
  OnEnd(stream, CallEnd::kBadInput, reason);
}

void Discovery::OnEnd(const Stream& stream, CallEnd why, const std::string& reason) {
  stream_ = nullptr;
  const auto now = Clock::now();
  age_.CallEnded(why, stream.began(), now);
  const Micros within = age_.AskWithin(now);
  if (why == CallEnd::kBadInput && !std::exchange(complained_, true))  // once: it may say the same each time
    std::fprintf(stderr, "discovery: the list is kept as it was: %.200s\n", reason.c_str());
  std::fprintf(
      stderr,
      "discovery: call %llu ended after %.3f s: %.100s; list heard %.3f s ago, ask again within %.3f s\n",
      static_cast<unsigned long long>(stream.number()), SecondsSince(stream.began()), reason.c_str(),
      SecondsSince(heard_at_), std::chrono::duration<double>(Time(within)).count());
  const int failures = failures_++;
  events_.on_failed(within);
  if (!timing_.reopens) return;
  // Jitter guards against all sidecars coming back in the same instant when discovery does.
  const Micros most =
      std::min({timing_.backoff_base << std::min(failures, 10), timing_.backoff_most, within});
  backoff_.expires_after(std::chrono::microseconds(std::uniform_int_distribution<Micros>(0, most)(random_)));
  backoff_.async_wait([this](ErrorCode error) {
    if (!error) Watch();
  });
}

}  // namespace merlinrun::net
