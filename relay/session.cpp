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
// A peer that sends more than this after its call is disconnected.
constexpr std::size_t kMaxDiscardedBytes = std::size_t{64} * 1024;
constexpr const char* kWatchHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nCache-Control: no-store\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

// Returns the value of a query parameter, or nothing if the query does not contain it.
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

// Returns whether the connection failed or ended, as opposed to a malformed call.
bool IsConnectionError(const ErrorCode& error) {
  return error == http::error::end_of_stream ||
         (error && (error.category() == net::asio::error::get_system_category() ||
                    error.category() == net::asio::error::get_misc_category()));
}

}  // namespace

struct Session::RequestHead {
  net::beast::flat_buffer buffer{2 * net::kMaxHeader};
  http::request_parser<http::empty_body> parser;
};

Session::Session(Server& server, net::Tcp::socket socket)
    : server_(&server), socket_(std::move(socket)), request_head_(std::make_unique<RequestHead>()) {
  request_head_->parser.header_limit(net::kMaxHeader);
}

Session::~Session() = default;

void Session::Start() {
  ErrorCode ignored;
  socket_.set_option(net::Tcp::no_delay(true), ignored);
  // A limited send buffer: changes for a slow peer are then merged into one delta here, instead of queueing
  // as many old deltas in the kernel.
  socket_.set_option(net::asio::socket_base::send_buffer_size(server_->limits().send_buffer), ignored);
  http::async_read_header(socket_, request_head_->buffer, request_head_->parser,
                          [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnHead(error); });
}

void Session::CloseWithoutRemoval() {
  if (phase_ == Phase::kClosed) return;
  phase_ = Phase::kClosed;
  server_ = nullptr;
  awaits_full_list_ = false;
  text_.reset();
  ErrorCode ignored;
  socket_.close(ignored);
}

void Session::Close() {
  if (server_ == nullptr) return;
  Server* const server = server_;
  const bool was_admitted = admitted_;
  const bool was_waiting_call = awaits_full_list_ && phase_ == Phase::kWaiting;
  const Ptr self = shared_from_this();
  CloseWithoutRemoval();
  server->Remove(*this, was_admitted, was_waiting_call);
}

void Session::OnHead(ErrorCode error) {
  if (server_ == nullptr) return;
  if (IsConnectionError(error)) return Close();
  server_->CountCall();
  if (error == http::error::header_limit || error == http::error::buffer_overflow)
    return AnswerError(http::status::request_header_fields_too_large, "the call is too long\n");
  if (error || !net::HasUnambiguousFraming(request_head_->parser.get()))
    return AnswerError(http::status::bad_request, "malformed call\n");
  Answer();
  request_head_.reset();
}

void Session::Answer() {
  const auto& call = request_head_->parser.get();
  const std::string_view target = net::ToStringView(call.target());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path != kListPath && path != kStatusPath) return AnswerError(http::status::not_found, "unknown call\n");
  if (call.method() != http::verb::get)
    return AnswerError(http::status::method_not_allowed, "another method\n", "GET");
  if (path == kStatusPath)
    return AnswerWith(http::status::ok, "application/json", std::make_shared<const Text>(server_->Status()));
  AnswerEndpoints(path.size() < target.size() ? target.substr(path.size() + 1) : std::string_view());
}

void Session::AnswerEndpoints(std::string_view query) {
  const auto stream = Parameter(query, "stream");
  const auto index_text = Parameter(query, "index");
  const auto index = index_text ? ParseIndex(*index_text) : std::nullopt;
  if ((stream && *stream != "1" && *stream != "0") || (index_text && !index))
    return AnswerError(http::status::bad_request, "malformed query\n");
  const ListStore& store = server_->feed().store();
  if (!store.known())
    return server_->CountRefused(), AnswerError(http::status::service_unavailable, "no list yet\n");
  watch_requested_ = stream && *stream == "1";
  if (watch_requested_ && index && *index > store.generation()) {
    awaited_generation_ = index;
    return BeginWatch({});
  }
  if (watch_requested_ && index) position_ = store.FindPosition(*index);
  if (position_) {
    if (const auto update = server_->feed().FirstUpdateAfter(*position_)) return BeginWatch(*update);
  }
  phase_ = Phase::kWaiting;
  awaits_full_list_ = true;
  DiscardInput();
  server_->admission().SubmitCall(shared_from_this());
}

void Session::OnAdmitted() {
  awaits_full_list_ = false;
  admitted_ = true;
  server_->CountFullList();
  if (phase_ == Phase::kWatching) {
    if (!writing_) SendNext();
    return;
  }
  sending_full_list_ = true;
  const Feed::Update full_list = server_->feed().FullList();
  if (watch_requested_) return BeginWatch(full_list);
  AnswerWith(http::status::ok, "application/json", full_list.text);
}

void Session::OnRefused() {
  awaits_full_list_ = false;
  server_->CountRefused();
  AnswerError(http::status::service_unavailable, "too many calls for the whole list\n");
}

void Session::AnswerError(http::status status, const char* text, const char* allow) {
  AnswerWith(status, "text/plain", std::make_shared<const Text>(text), allow);
}

void Session::AnswerWith(http::status status, const char* type, TextPtr text, const char* allow) {
  phase_ = Phase::kAnswering;
  prefix_ = "HTTP/1.1 " + std::to_string(static_cast<unsigned>(status)) + " " +
            std::string(http::obsolete_reason(status)) + "\r\nContent-Type: " + type +
            "\r\nContent-Length: " + std::to_string(text->body.size()) +
            "\r\nCache-Control: no-store\r\nConnection: close\r\n" +
            (allow == nullptr ? "" : std::string("Allow: ") + allow + "\r\n") + "\r\n";
  text_ = std::move(text);
  buffers_ = {net::asio::buffer(prefix_), net::asio::buffer(text_->body), {}, {}};
  write_started_at_ = last_progress_at_ = Clock::now();
  ContinueWrite();
}

// Without a text in `update`, only the header and a heartbeat are sent; updates follow later.
void Session::BeginWatch(const Feed::Update& update) {
  phase_ = Phase::kWatching;
  if (update.text != nullptr) position_ = update.position;
  server_->CountWatch();
  DiscardInput();
  WriteChunk(kWatchHead, update.text);
}

// Writes the prefix and the text as one chunk, or a heartbeat if there is no text.
void Session::WriteChunk(std::string prefix, TextPtr text) {
  prefix_ = std::move(prefix);
  text_ = std::move(text);
  if (text_ != nullptr) {
    buffers_ = {net::asio::buffer(prefix_), net::asio::buffer(text_->chunk_head),
                net::asio::buffer(text_->body), net::asio::buffer(std::string_view(kChunkTail))};
  } else {
    buffers_ = {net::asio::buffer(prefix_), net::asio::buffer(std::string_view(kHeartbeatChunk)), {}, {}};
  }
  write_started_at_ = last_progress_at_ = Clock::now();
  ContinueWrite();
}

// Writes as much as the socket accepts, and the rest when it becomes writable again.
void Session::ContinueWrite() {
  writing_ = true;
  for (;;) {
    ErrorCode error;
    std::size_t written = socket_.write_some(buffers_, error);
    if (error == net::asio::error::would_block || error == net::asio::error::try_again) break;
    if (error) return Close();
    server_->CountBytes(written);
    last_progress_at_ = Clock::now();
    for (auto& part : buffers_) {
      const std::size_t count = std::min(written, part.size());
      part += count;
      written -= count;
    }
    if (net::asio::buffer_size(buffers_) == 0) return OnWritten();
  }
  socket_.async_wait(net::Tcp::socket::wait_write, [self = shared_from_this()](ErrorCode error) {
    if (self->server_ == nullptr) return;
    if (error) return self->Close();
    self->ContinueWrite();
  });
}

void Session::OnWritten() {
  writing_ = false;
  text_.reset();
  prefix_ = {};
  if (std::exchange(sending_full_list_, false)) {
    admitted_ = false;
    server_->ReleaseAdmission();
  }
  if (phase_ == Phase::kAnswering) return Linger();
  SendNext();
}

// Closes only the sending direction and discards input until the peer closes: closing the socket with unread
// input would reset the connection, and the answer might be lost.
void Session::Linger() {
  phase_ = Phase::kLingering;
  ErrorCode error;
  socket_.shutdown(net::Tcp::socket::shutdown_send, error);
  server_->StartLingerTimeout(shared_from_this());
  DiscardInput();
}

void Session::DiscardInput() {
  if (std::exchange(awaiting_input_, true)) return;
  socket_.async_wait(net::Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
    self->awaiting_input_ = false;
    if (self->server_ == nullptr) return;
    if (error) return self->Close();
    self->OnReadable();
  });
}

void Session::OnReadable() {
  std::array<char, 4096> scratch;
  ErrorCode error;
  discarded_bytes_ += socket_.read_some(net::asio::buffer(scratch), error);
  const bool would_block = error == net::asio::error::would_block || error == net::asio::error::try_again;
  if ((error && !would_block) || discarded_bytes_ > kMaxDiscardedBytes) return Close();
  DiscardInput();
}

void Session::SendUpdates() {
  if (phase_ != Phase::kWatching || writing_) return;
  ResolveAwaitedGeneration(/*allow_full_list=*/false);
  SendNext();
}

// A client with a higher generation than the relay's is sent nothing until the relay has received that
// generation. If the relay has caught up with the upstream and its generation is still lower, the upstream's
// generations have started over, and the client needs the full list (only if `allow_full_list`).
void Session::ResolveAwaitedGeneration(bool allow_full_list) {
  if (!awaited_generation_) return;
  const ListStore& store = server_->feed().store();
  if (*awaited_generation_ <= store.generation()) {
    position_ = store.FindPosition(*awaited_generation_);
    awaited_generation_.reset();
  } else if (allow_full_list && server_->upstream_caught_up()) {
    awaited_generation_.reset();
  }
}

// Sends the next update on a watch with no write in progress, or queues for the full list if it is needed.
void Session::SendNext() {
  if (awaits_full_list_ || awaited_generation_) return;
  if (admitted_) {
    sending_full_list_ = true;
    const Feed::Update full_list = server_->feed().FullList();
    position_ = full_list.position;
    return WriteChunk({}, full_list.text);
  }
  const auto update = position_ ? server_->feed().UpdateAfter(*position_) : std::nullopt;
  if (!update) {
    awaits_full_list_ = true;
    return server_->admission().SubmitWatch(shared_from_this());
  }
  if (update->text == nullptr) return;
  position_ = update->position;
  server_->CountObject();
  WriteChunk({}, update->text);
}

void Session::Tick() {
  if (phase_ == Phase::kClosed || phase_ == Phase::kReadingHead) return;
  if (writing_) {
    const auto now = Clock::now();
    const Server::Limits& limits = server_->limits();
    if (now - last_progress_at_ >= limits.stall_timeout || now - write_started_at_ >= limits.max_write_time)
      Close();
    return;
  }
  if (phase_ != Phase::kWatching) return;
  ResolveAwaitedGeneration(/*allow_full_list=*/true);
  SendNext();
  // A heartbeat is sent even soon after an object. If it were skipped, up to twice the interval could pass
  // without data.
  if (phase_ == Phase::kWatching && !writing_) WriteChunk({}, nullptr);
}

}  // namespace merlinrun::relay
