#include "relay/session.hpp"

#include <boost/asio/socket_base.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "net/validate.hpp"
#include "relay/server.hpp"

namespace merlinrun::relay {

namespace http = net::http;
using net::ErrorCode;

namespace {

constexpr std::string_view kListPath = "/v1/endpoints";
constexpr std::string_view kStatusPath = "/status";
constexpr std::size_t kMostDiscarded = std::size_t{64} * 1024;
constexpr const char* kWatchHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nCache-Control: no-store\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::optional<std::string_view> Parameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(pair.size() + 1, query.size()));
    if (pair.substr(0, pair.find('=')) == name)
      return pair.size() > name.size() ? pair.substr(name.size() + 1) : "";
  }
  return std::nullopt;
}

std::optional<std::int64_t> ParseIndex(std::string_view text) {
  std::int64_t index = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, index);
  if (error != std::errc() || end != last || index < 0) return std::nullopt;
  return index;
}

// Not an error of what was said.
bool IsOfTheConnection(const ErrorCode& error) {
  return error == http::error::end_of_stream ||
         (error && (error.category() == net::asio::error::get_system_category() ||
                    error.category() == net::asio::error::get_misc_category()));
}

}  // namespace

struct Session::Head {
  net::beast::flat_buffer buffer{2 * net::kMaxHeader};
  http::request_parser<http::empty_body> parser;
};

Session::Session(Server& owner, net::Tcp::socket socket)
    : owner_(&owner), socket_(std::move(socket)), head_(std::make_unique<Head>()) {
  head_->parser.header_limit(net::kMaxHeader);
}

Session::~Session() = default;

void Session::Start() {
  ErrorCode ignored;
  socket_.set_option(net::Tcp::no_delay(true), ignored);
  // What a slow peer has not taken waits here as one delta, and not as a row of old ones in the kernel.
  socket_.set_option(net::asio::socket_base::send_buffer_size(owner_->limits().send_buffer), ignored);
  http::async_read_header(socket_, head_->buffer, head_->parser,
                          [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnHead(error); });
}

void Session::Abandon() {
  if (phase_ == Phase::kOver) return;
  phase_ = Phase::kOver;
  owner_ = nullptr;
  waits_ = false;
  text_.reset();
  ErrorCode ignored;
  socket_.close(ignored);
}

void Session::Close() {
  if (owner_ == nullptr) return;
  Server* const owner = owner_;
  const bool held = holds_slot_;
  const bool waited = waits_ && phase_ == Phase::kWaiting;
  const Ptr self = shared_from_this();
  Abandon();
  owner->Remove(*this, held, waited);
}

void Session::OnHead(ErrorCode error) {
  if (owner_ == nullptr) return;
  if (IsOfTheConnection(error)) return Close();
  owner_->CountCall();
  if (error == http::error::header_limit || error == http::error::buffer_overflow)
    return Refuse(http::status::request_header_fields_too_large, "the call is too long\n");
  if (error || !net::HasUnambiguousFraming(head_->parser.get()))
    return Refuse(http::status::bad_request, "malformed call\n");
  Answer();
  head_.reset();
}

void Session::Answer() {
  const auto& call = head_->parser.get();
  const std::string_view target = net::ToStringView(call.target());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path != kListPath && path != kStatusPath) return Refuse(http::status::not_found, "unknown call\n");
  if (call.method() != http::verb::get)
    return Refuse(http::status::method_not_allowed, "another method\n", "GET");
  if (path == kStatusPath)
    return AnswerWith(http::status::ok, "application/json", std::make_shared<const Text>(owner_->Status()));
  AnswerEndpoints(path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view());
}

void Session::AnswerEndpoints(std::string_view query) {
  const auto stream = Parameter(query, "stream");
  const auto index_text = Parameter(query, "index");
  const auto index = index_text ? ParseIndex(*index_text) : std::nullopt;
  if ((stream && *stream != "1" && *stream != "0") || (index_text && !index))
    return Refuse(http::status::bad_request, "malformed query\n");
  const ListStore& store = owner_->feed().store();
  if (!store.known())
    return owner_->CountRefused(), Refuse(http::status::service_unavailable, "no list yet\n");
  wants_watch_ = stream && *stream == "1";
  if (wants_watch_ && index && *index > store.generation()) {
    ahead_ = index;
    return BeginWatch({});
  }
  if (wants_watch_ && index) position_ = store.Find(*index);
  if (position_) {
    if (const auto told = owner_->feed().FirstAfter(*position_)) return BeginWatch(*told);
  }
  phase_ = Phase::kWaiting;
  waits_ = true;
  Discard();
  owner_->admission().EnterCall(shared_from_this());
}

void Session::OnAdmitted() {
  waits_ = false;
  holds_slot_ = true;
  owner_->CountWhole();
  if (phase_ == Phase::kWatching) {
    if (!writing_) Next();
    return;
  }
  sends_whole_ = true;
  const Feed::Told whole = owner_->feed().Whole();
  if (wants_watch_) return BeginWatch(whole);
  AnswerWith(http::status::ok, "application/json", whole.text);
}

void Session::OnRefused() {
  waits_ = false;
  owner_->CountRefused();
  Refuse(http::status::service_unavailable, "too many calls for the whole list\n");
}

void Session::Refuse(http::status status, const char* text, const char* allow) {
  AnswerWith(status, "text/plain", std::make_shared<const Text>(text), allow);
}

void Session::AnswerWith(http::status status, const char* type, TextPtr text, const char* allow) {
  phase_ = Phase::kAnswering;
  lead_ = "HTTP/1.1 " + std::to_string(static_cast<unsigned>(status)) + " " +
          std::string(http::obsolete_reason(status)) + "\r\nContent-Type: " + type +
          "\r\nContent-Length: " + std::to_string(text->body.size()) +
          "\r\nCache-Control: no-store\r\nConnection: close\r\n" +
          (allow == nullptr ? "" : std::string("Allow: ") + allow + "\r\n") + "\r\n";
  text_ = std::move(text);
  out_ = {net::asio::buffer(lead_), net::asio::buffer(text_->body), {}, {}};
  began_ = progress_ = Clock::now();
  Push();
}

// Nothing in `told`: a sign of life, and what there is to tell later.
void Session::BeginWatch(const Feed::Told& told) {
  phase_ = Phase::kWatching;
  if (told.text != nullptr) position_ = told.position;
  owner_->CountWatch();
  Discard();
  WriteChunk(kWatchHead, told.text);
}

// A blank line where there is no text.
void Session::WriteChunk(std::string head, TextPtr text) {
  lead_ = std::move(head);
  text_ = std::move(text);
  if (text_ != nullptr) {
    out_ = {net::asio::buffer(lead_), net::asio::buffer(text_->chunk_head), net::asio::buffer(text_->body),
            net::asio::buffer(std::string_view(kChunkTail))};
  } else {
    out_ = {net::asio::buffer(lead_), net::asio::buffer(std::string_view(kBlankChunk)), {}, {}};
  }
  began_ = progress_ = Clock::now();
  Push();
}

// Writes what the socket takes; the rest when it takes more.
void Session::Push() {
  writing_ = true;
  for (;;) {
    ErrorCode error;
    std::size_t taken = socket_.write_some(out_, error);
    if (error == net::asio::error::would_block || error == net::asio::error::try_again) break;
    if (error) return Close();
    owner_->CountBytes(taken);
    progress_ = Clock::now();
    for (auto& piece : out_) {
      const std::size_t of_this = std::min(taken, piece.size());
      piece += of_this;
      taken -= of_this;
    }
    if (net::asio::buffer_size(out_) == 0) return OnWritten();
  }
  socket_.async_wait(net::Tcp::socket::wait_write, [self = shared_from_this()](ErrorCode error) {
    if (self->owner_ == nullptr) return;
    if (error) return self->Close();
    self->Push();
  });
}

void Session::OnWritten() {
  writing_ = false;
  text_.reset();
  lead_ = {};
  if (std::exchange(sends_whole_, false)) {
    holds_slot_ = false;
    owner_->FreeSlot();
  }
  if (phase_ == Phase::kAnswering) return Linger();
  Next();
}

// Closing with input unread would reset the connection and might lose the answer.
void Session::Linger() {
  phase_ = Phase::kLingering;
  ErrorCode error;
  socket_.shutdown(net::Tcp::socket::shutdown_send, error);
  owner_->ExpectEnd(shared_from_this());
  Discard();
}

void Session::Discard() {
  if (std::exchange(reads_, true)) return;
  socket_.async_wait(net::Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
    self->reads_ = false;
    if (self->owner_ == nullptr) return;
    if (error) return self->Close();
    self->OnReadable();
  });
}

void Session::OnReadable() {
  std::array<char, 4096> scratch;
  ErrorCode error;
  discarded_ += socket_.read_some(net::asio::buffer(scratch), error);
  const bool later = error == net::asio::error::would_block || error == net::asio::error::try_again;
  if ((error && !later) || discarded_ > kMostDiscarded) return Close();
  Discard();
}

void Session::Tell() {
  if (phase_ != Phase::kWatching || writing_) return;
  Settle(/*late=*/false);
  Next();
}

// Who knows a later generation is told nothing old: it waits until the relay has heard as much. Where the
// upstream is heard and still has less, it has begun anew, and the whole list holds.
void Session::Settle(bool late) {
  if (!ahead_) return;
  const ListStore& store = owner_->feed().store();
  if (*ahead_ <= store.generation()) {
    position_ = store.Find(*ahead_);
    ahead_.reset();
  } else if (late && owner_->upstream_heard()) {
    ahead_.reset();
  }
}

// What comes next on a watch to which nothing is being written.
void Session::Next() {
  if (waits_ || ahead_) return;
  if (holds_slot_) {
    sends_whole_ = true;
    const Feed::Told whole = owner_->feed().Whole();
    position_ = whole.position;
    return WriteChunk({}, whole.text);
  }
  const auto told = position_ ? owner_->feed().After(*position_) : std::nullopt;
  if (!told) {
    waits_ = true;
    return owner_->admission().EnterWatch(shared_from_this());
  }
  if (told->text == nullptr) return;
  position_ = told->position;
  owner_->CountObject();
  WriteChunk({}, told->text);
}

void Session::Tick() {
  if (phase_ == Phase::kOver || phase_ == Phase::kHead) return;
  if (writing_) {
    const auto now = Clock::now();
    const Server::Limits& limits = owner_->limits();
    if (now - progress_ >= limits.stalled || now - began_ >= limits.longest_write) Close();
    return;
  }
  if (phase_ != Phase::kWatching) return;
  Settle(/*late=*/true);
  Next();
  // Also soon after an object: skipping it then would leave up to twice the time to the next one.
  if (phase_ == Phase::kWatching && !writing_) WriteChunk({}, nullptr);
}

}  // namespace merlinrun::relay
