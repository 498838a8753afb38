// Stand-ins for the sidecar's surroundings, on loopback addresses: servers, discovery, a client connection and
// the platform that starts and signals the sidecar. Only POSIX and the C++ standard library are used.
#ifndef REVIEW_STAND_IN_HPP_
#define REVIEW_STAND_IN_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// Seconds since the test began.
inline double Now() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}
inline void Sleep(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

// The case could not be run.
struct CannotRun {
  std::string why;
};

// ---- record.txt ----

class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    std::FILE* const out = file_ == nullptr ? stderr : file_;
    std::fprintf(out, "%9.3f  ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(out, format, arguments);
    va_end(arguments);
    std::fputc('\n', out);
    std::fflush(out);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};
#define RECORD(...) ::review::Record::Get().Line(__VA_ARGS__)

// ---- Sockets ----

class Socket {
 public:
  Socket() = default;
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      Close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  ~Socket() { Close(); }
  int fd() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  // Closes with a reset.
  void Reset() {
    const linger hard{1, 0};
    if (fd_ >= 0) ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  // Waits until there is input, an end or an error; false after `seconds`.
  bool Readable(double seconds) const {
    pollfd entry{fd_, POLLIN, 0};
    return ::poll(&entry, 1, static_cast<int>(seconds * 1000)) > 0;
  }
  // Sends everything; false if the connection broke.
  bool Send(std::string_view data) const {
    while (!data.empty()) {
      const ssize_t n = ::send(fd_, data.data(), data.size(), MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }
  // Receives up to `max` bytes: more than 0, 0 at an orderly end, -1 on a reset, -2 when `seconds` are over.
  ssize_t Receive(char* data, std::size_t max, double seconds) const {
    if (!Readable(std::max(seconds, 0.0))) return -2;
    const ssize_t n = ::recv(fd_, data, max, 0);
    return n < 0 ? -1 : n;
  }

 private:
  int fd_ = -1;
};

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline Socket Listen(int& port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = LoopbackAddress(port);
  if (::bind(socket.fd(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(socket.fd(), 512) != 0)
    throw CannotRun{"cannot listen on a loopback address"};
  socklen_t size = sizeof address;
  ::getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket;
}

inline Socket Connect(int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = LoopbackAddress(port);
  if (::connect(socket.fd(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    return Socket();
  return socket;
}

inline int FreePort() {
  int port = 0;
  const Socket held = Listen(port);
  return port;
}

inline std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

// ---- HTTP ----

inline std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Head {
  std::string first_line;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string Get(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
};

inline Head ParseHead(const std::string& text) {
  Head head;
  std::istringstream in(text);
  std::string line;
  std::getline(in, head.first_line);
  if (!head.first_line.empty() && head.first_line.back() == '\r') head.first_line.pop_back();
  while (std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    head.fields[Lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
  }
  return head;
}

// Reads HTTP messages from a connection, one after the other.
class Reader {
 public:
  enum class End { kComplete, kEof, kReset, kTimeout, kInvalid };

  explicit Reader(const Socket& socket) : socket_(socket) {}

  End ReadHead(Head& head, double until) {
    std::size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (const End failed = Fill(until); failed != End::kComplete) return failed;
    head = ParseHead(buffer_.substr(0, end + 2));
    buffer_.erase(0, end + 4);
    return End::kComplete;
  }

  // Reads the body that `head` announces. `on_data` is called with each piece.
  End ReadBody(const Head& head, bool response, double until,
               const std::function<void(std::string_view)>& on_data) {
    if (Lower(head.Get("transfer-encoding")) == "chunked") return ReadChunks(until, on_data);
    const std::string length = head.Get("content-length");
    if (length.empty() && !response) return End::kComplete;
    std::size_t left = length.empty() ? SIZE_MAX : std::stoull(length);
    while (left > 0) {
      if (buffer_.empty()) {
        const End failed = Fill(until);
        if (failed == End::kEof && length.empty()) return End::kComplete;
        if (failed != End::kComplete) return failed;
      }
      const std::size_t n = std::min(left, buffer_.size());
      on_data(std::string_view(buffer_).substr(0, n));
      buffer_.erase(0, n);
      left -= n;
    }
    return End::kComplete;
  }

  // Limits how much is taken from the socket at once.
  void SetMaxRead(std::size_t bytes) { max_read_ = bytes; }
  const std::string& buffered() const { return buffer_; }

 private:
  End Fill(double until) {
    std::vector<char> data(max_read_);
    const ssize_t n = socket_.Receive(data.data(), data.size(), until - Now());
    if (n == 0) return End::kEof;
    if (n == -1) return End::kReset;
    if (n == -2) return End::kTimeout;
    buffer_.append(data.data(), static_cast<std::size_t>(n));
    return End::kComplete;
  }

  End ReadChunks(double until, const std::function<void(std::string_view)>& on_data) {
    for (;;) {
      std::size_t end;
      while ((end = buffer_.find("\r\n")) == std::string::npos)
        if (const End failed = Fill(until); failed != End::kComplete) return failed;
      std::size_t left = std::strtoull(buffer_.c_str(), nullptr, 16);
      buffer_.erase(0, end + 2);
      const bool last = left == 0;
      while (left > 0) {
        if (buffer_.empty())
          if (const End failed = Fill(until); failed != End::kComplete) return failed;
        const std::size_t n = std::min(left, buffer_.size());
        on_data(std::string_view(buffer_).substr(0, n));
        buffer_.erase(0, n);
        left -= n;
      }
      while (buffer_.size() < 2)
        if (const End failed = Fill(until); failed != End::kComplete) return failed;
      if (buffer_.substr(0, 2) != "\r\n") return End::kInvalid;  // no trailers are used here
      buffer_.erase(0, 2);
      if (last) return End::kComplete;
    }
  }

  const Socket& socket_;
  std::string buffer_;
  std::size_t max_read_ = 65536;
};

inline const char* Name(Reader::End end) {
  switch (end) {
    case Reader::End::kComplete: return "complete";
    case Reader::End::kEof: return "closed";
    case Reader::End::kReset: return "reset";
    case Reader::End::kTimeout: return "nothing more in time";
    case Reader::End::kInvalid: return "unreadable";
  }
  return "";
}

// ---- Threads that end with the test ----

// Accepts connections and handles each on a thread of its own. The threads are not joined: the process ends
// with _exit after the verdict.
inline void AcceptForever(int listener, std::function<void(Socket&)> handle) {
  std::thread([listener, handle = std::move(handle)] {
    for (;;) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (errno == EINTR || errno == ECONNABORTED) continue;
        return;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([handle, fd] {
        Socket socket(fd);
        handle(socket);
      }).detach();
    }
  }).detach();
}

// ---- Servers ----

// A request as a server received it, head and body complete.
struct ServerRequest {
  Head head;
  std::string body;
  std::string id() const { return head.Get("req-id"); }
};

// A server that answers each complete request with 200 and a short body. `on_head` (optional) is called when the
// head has arrived and may take over the connection by returning false; `on_request` (optional) answers itself
// and returns whether the connection stays open.
class Server {
 public:
  std::string id;
  std::string zone;
  std::string lifecycle = "up";
  std::function<bool(Server&, const Socket&, Reader&, const Head&)> on_head;
  std::function<bool(Server&, const Socket&, const ServerRequest&)> on_request;
  double service_time = 0.02;
  bool quiet = false;      // does not record each request
  int receive_buffer = 0;  // of its machine's connections; 0 = the system's default

  void Start() {
    listener_ = Listen(port_);
    if (receive_buffer > 0)
      ::setsockopt(listener_.fd(), SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    AcceptForever(listener_.fd(), [this](Socket& socket) { Serve(socket); });
  }
  int port() const { return port_; }
  std::atomic<int> requests{0};

  static std::string Ok(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nSrv-Load: TEXT queue=0, util=0.2\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  void Serve(const Socket& socket) {
    Reader reader(socket);
    for (;;) {
      ServerRequest request;
      if (reader.ReadHead(request.head, Now() + 600) != Reader::End::kComplete) return;
      if (on_head && !on_head(*this, socket, reader, request.head)) return;
      if (reader.ReadBody(request.head, false, Now() + 600, [&](std::string_view data) {
            request.body.append(data);
          }) != Reader::End::kComplete)
        return;
      ++requests;
      if (!quiet)
        RECORD("server %s: request %s arrived whole (%zu bytes of body)", id.c_str(), request.id().c_str(),
               request.body.size());
      if (on_request) {
        if (!on_request(*this, socket, request)) return;
        continue;
      }
      Sleep(service_time);
      if (!socket.Send(Ok("served " + request.id() + "\n"))) return;
    }
  }

  Socket listener_;
  int port_ = 0;
};

// ---- Discovery ----

// Discovery with a single list that does not change.
class Discovery {
 public:
  explicit Discovery(std::vector<std::unique_ptr<Server>>& servers) : servers_(servers) {}

  void Start() {
    listener_ = Listen(port_);
    AcceptForever(listener_.fd(), [this](Socket& socket) { Serve(socket); });
  }
  int port() const { return port_; }

  // While discovery is down, watches end and each call ends in 503.
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    down_ = down;
    RECORD("discovery: %s", down ? "down" : "up again");
  }
  // The number of open watches that have been told the list.
  int watches() const {
    const std::lock_guard lock(mutex_);
    return watches_;
  }

  std::string WholeList() const {
    std::string out = "{\"generation\":41,\"reset\":true,\"instances\":[";
    for (const auto& server : servers_) out += Entry(*server) + ",";
    if (out.back() == ',') out.pop_back();
    return out + "]}";
  }

 private:
  static std::string Entry(const Server& server) {
    return "{\"instanceId\":\"" + server.id + "\",\"hostPort\":\"" + Address(server.port()) + "\",\"zone\":\"" +
           server.zone + "\",\"machineType\":\"middel\",\"cell\":1,\"lifecycle\":\"" + server.lifecycle +
           "\",\"weight\":1.0,\"startedAtMs\":0}";
  }
  static bool SendChunk(const Socket& socket, const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return socket.Send(size + text + "\r\n");
  }
  static void Fail(const Socket& socket) {
    socket.Send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    char byte;
    while (socket.Receive(&byte, 1, 1) > 0) continue;
  }

  bool IsDown() const {
    const std::lock_guard lock(mutex_);
    return down_;
  }

  void Serve(Socket& socket) {
    Reader reader(socket);
    Head head;
    if (reader.ReadHead(head, Now() + 10) != Reader::End::kComplete) return;
    const bool down = IsDown();
    RECORD("discovery: call %s", head.first_line.c_str());
    if (down) return RECORD("discovery: 503, it is down"), Fail(socket);
    if (head.first_line.find("stream=1") == std::string::npos) {
      const std::string list = WholeList() + "\n";
      RECORD("discovery: answered with the whole list");
      socket.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(list.size()) + "\r\n\r\n" + list);
      Sleep(0.2);
      return;
    }
    Watch(socket);
  }

  // The first object is the whole list. An empty line follows every 2 s, as nothing changes.
  void Watch(Socket& socket) {
    if (!socket.Send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n") ||
        !SendChunk(socket, WholeList() + "\n"))
      return;
    RECORD("discovery: the list is written to a watch");
    CountWatch(1);
    double line_due = Now() + 2;
    bool open = true;
    while (open && !IsDown()) {
      char byte;
      const ssize_t got = socket.Receive(&byte, 1, 0.01);
      open = got > 0 || got == -2;
      if (Now() < line_due) continue;
      line_due += 2;
      open = open && SendChunk(socket, "\n");
    }
    CountWatch(-1);
    if (open) socket.Send("0\r\n\r\n");  // the end of the chunked answer
  }
  void CountWatch(int change) {
    const std::lock_guard lock(mutex_);
    watches_ += change;
  }

  std::vector<std::unique_ptr<Server>>& servers_;
  Socket listener_;
  int port_ = 0;
  mutable std::mutex mutex_;
  int watches_ = 0;
  bool down_ = false;
};

// ---- The sidecar, as the platform starts it ----

// The settings of a sidecar of the site lichtnet-prod.
inline std::string LichtnetSettings() {
  return R"json({"allowed":{"cancel":true,"conn_idle_us":60000000,"cpu_us_per_request":10.0,"cpu_us_per_s":8000,
"dial_timeout_us":250000,"max_attempts":4,"max_retry_after_us":2000000,"open_cap":20000,"parallel_tries":true,
"peers":false,"probes":false,"retry_after":true,"streams_per_conn":1},
"azs":["utrecht","zwolle","eindhoven"],"callers":{"marks_retry":true},
"costs":{"connection":0.0,"cross_zone":0.03,"handshake":0.0,"late_fail":0.05,"membership_mode":0.0,"moves":0.0,
"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.3},"domain":{"warm_keys":false},"family":"mesh",
"goal":{"whole":0.3,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.4},
"grades":[{"aim_us":1500000,"group":"all","hard_limit_us":6000000,"importance":1.0,"late_value":0.0,
"name":"status","repeat":"idempotent","stream":false,"window_us":5000000},
{"aim_us":2500000,"group":"zone","hard_limit_us":6000000,"importance":8.0,"late_value":0.0,
"name":"schakel-opdracht","repeat":"deduplicated","stream":false,"window_us":30000000}],
"host_types":["groot","middel","klein"],"membership_mode":"subscribe","my_zone":"eindhoven",
"over_share_worth":0.05,"quantum_us":5000,"rank":0,
"rules":{"answer_slack_us":20000,"ask_within_us":10000000,"cold_from":0.3,"drain_grace_us":2000000,
"fall_us":1500000,"overload_factor":3.0,"warm_after_us":8800000},
"siblings":4,"stages":["schakel"],"telemetry":{"fields":["pending","cpu_share"],"via":"answers"},
"tenants":[{"name":"gem-a","quota_per_s":20.0,"share":0.23},{"name":"gem-b","quota_per_s":14.0,"share":0.16}],
"tier":0,"value_by":"work","weights":"rough"})json";
}

// The settings of a sidecar of the site push-unsafe (harbour), where discovery pushes its list.
inline std::string HarbourSettings() {
  return R"json({"allowed":{"cancel":true,"conn_idle_us":12000000,"cpu_us_per_request":10.0,"cpu_us_per_s":8000,
"dial_timeout_us":180000,"max_attempts":3,"max_retry_after_us":700000,"open_cap":20000,"parallel_tries":false,
"peers":false,"probes":false,"retry_after":true,"streams_per_conn":1},
"azs":["utrecht","zwolle","eindhoven"],"callers":{"marks_retry":true},
"costs":{"connection":0.0,"cross_zone":0.06,"handshake":0.0,"late_fail":0.05,"membership_mode":0.0,"moves":0.0,
"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.1},"domain":{"warm_keys":false},"family":"mesh",
"goal":{"whole":0.3,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.4},
"grades":[{"aim_us":450000,"group":"all","hard_limit_us":900000,"importance":2.0,"late_value":0.2,
"name":"berth%2Flook?","repeat":"idempotent","stream":false,"window_us":5000000},
{"aim_us":500000,"group":"all","hard_limit_us":700000,"importance":6.0,"late_value":0.0,
"name":"crane:move","repeat":"at_most_once","stream":false,"window_us":5000000},
{"aim_us":900000,"group":"all","hard_limit_us":2400000,"importance":4.0,"late_value":0.5,
"name":"manifest(new)","repeat":"deduplicated","stream":false,"window_us":9000000}],
"host_types":["groot","middel","klein"],"membership_mode":"automatic","my_zone":"eindhoven",
"over_share_worth":0.05,"quantum_us":5000,"rank":0,
"rules":{"answer_slack_us":20000,"ask_within_us":10000000,"cold_from":0.3,"drain_grace_us":700000,
"fall_us":1500000,"overload_factor":3.0,"warm_after_us":8800000},
"siblings":4,"stages":["schakel"],"telemetry":{"fields":["pending","cpu_share"],"via":"answers"},
"tenants":[{"name":"quay 1, north","quota_per_s":40.0,"share":0.45},
{"name":"o'hare&sons","quota_per_s":27.0,"share":0.3}],
"tier":0,"value_by":"work","weights":"rough"})json";
}

class Sidecar {
 public:
  // `run` is the command of the deploy file; it is started by a shell, from the repository's root.
  Sidecar(std::string run, std::string root, std::string folder)
      : run_(std::move(run)), root_(std::move(root)), folder_(std::move(folder)) {}
  ~Sidecar() { Kill(); }

  std::string settings = LichtnetSettings();
  int memory_mb = 192;
  int sockets = 1024;
  std::string seed = "8c1f30d27a5be964";

  // Starts a new process, again with the same address, and waits until it is ready. `known` is the last list
  // that this sidecar had.
  void Start(const Discovery& discovery, const std::string& known) {
    if (port_ == 0) port_ = FreePort();
    const std::string config = folder_ + "/config.json";
    std::ofstream(config) << "{\"name\":\"n3\",\"listen\":\"" << Address(port_) << "\",\"discovery\":\""
                          << Address(discovery.port()) << "\",\"seed\":\"" << seed
                          << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << memory_mb
                          << ",\"sockets\":" << sockets << "},\"known\":" << known
                          << ",\"settings\":" << settings << "}";
    const std::string temporary = folder_ + "/tmp";
    std::filesystem::remove_all(temporary);
    std::filesystem::create_directory(temporary);
    ended_ = false;
    started_at_ = Now();
    pid_ = ::fork();
    if (pid_ < 0) throw CannotRun{"cannot start a process"};
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // does not outlive the test, however that ends
      const int log = ::open((folder_ + "/sidecar.log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("EDGE_NAME", "n3", 1);
      ::setenv("EDGE_LISTEN", Address(port_).c_str(), 1);
      ::setenv("EDGE_DISCOVERY", Address(discovery.port()).c_str(), 1);
      ::setenv("EDGE_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", temporary.c_str(), 1);
      ::unsetenv("EDGE_MGMT");
      ::unsetenv("EDGE_ACCEPT_FD");
      ::unsetenv("EDGE_TRACE");
      if (::chdir(root_.c_str()) != 0) ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", run_.c_str(), nullptr);
      ::_exit(127);
    }
    WaitUntilReady();
  }

  double started_at() const { return started_at_; }
  int port() const { return port_; }
  // The private memory of the process, in MB.
  double MemoryMb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.rfind("RssAnon:", 0) == 0) return std::atof(line.c_str() + 8) / 1024;
    return 0;
  }
  void Signal(int number) { ::kill(pid_, number); }
  // Whether the process has ended; `status` is then its wait status.
  bool Ended() {
    if (pid_ <= 0 || ended_) return true;
    if (::waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
    return ended_;
  }
  std::string HowEnded() const {
    if (!ended_) return "running";
    return WIFEXITED(status_) ? "exit status " + std::to_string(WEXITSTATUS(status_))
                              : "signal " + std::to_string(WTERMSIG(status_));
  }
  void Kill() {
    if (pid_ <= 0 || Ended()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    ended_ = true;
  }

 private:
  void WaitUntilReady() {
    const double until = Now() + 15;
    while (Now() < until) {
      if (Ended()) throw CannotRun{"the sidecar ended at its start: " + HowEnded()};
      const Socket socket = Connect(port_);
      if (socket.valid() && socket.Send("GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n")) {
        Reader reader(socket);
        Head head;
        if (reader.ReadHead(head, Now() + 1) == Reader::End::kComplete &&
            head.first_line.find(" 200") != std::string::npos) {
          RECORD("platform: the sidecar is ready, %.3f s after its start", Now() - started_at_);
          return;
        }
      }
      Sleep(0.01);
    }
    throw CannotRun{"the sidecar did not become ready"};
  }

  const std::string run_, root_, folder_;
  int port_ = 0;
  double started_at_ = 0;
  pid_t pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

// ---- The test around a case ----

struct World {
  bool trouble = true;
  std::vector<std::unique_ptr<Server>> servers;
  std::unique_ptr<Discovery> discovery;
  std::unique_ptr<Sidecar> sidecar;

  void AddServers(int count) {
    const char* const zones[] = {"utrecht", "zwolle", "eindhoven"};
    for (int i = 0; i < count; ++i) {
      servers.push_back(std::make_unique<Server>());
      servers.back()->id = "s-" + std::to_string(100 + i);
      servers.back()->zone = zones[i % 3];
    }
  }
  // Starts servers, discovery and the sidecar, and waits until the sidecar has been told the list.
  void Start() {
    for (const auto& server : servers) server->Start();
    discovery->Start();
    sidecar->Start(*discovery, discovery->WholeList());
    WaitUntilTold(15);
  }
  void WaitUntilTold(double seconds) const {
    const double until = Now() + seconds;
    while (discovery->watches() == 0) {
      if (Now() > until) throw CannotRun{"the sidecar opened no watch"};
      Sleep(0.02);
    }
  }
};

// Runs a case: argv is RUN ROOT CASE-FOLDER. The verdict is the exit status: 1 the rule was broken, 0 it held,
// 2 the case could not run.
inline int RunCase(int argc, char** argv, const std::function<bool(World&)>& rule_held) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 4) {
    std::fprintf(stderr, "usage: case RUN ROOT FOLDER\n");
    return 2;
  }
  Now();
  Record::Get().Open(std::string(argv[3]) + "/record.txt");
  char folder[] = "/tmp/review-XXXXXX";
  int verdict = 2;
  World world;
  try {
    if (::mkdtemp(folder) == nullptr) throw CannotRun{"no temporary folder"};
    const char* const trouble = std::getenv("TROUBLE");
    world.trouble = trouble == nullptr || std::string(trouble) != "0";
    RECORD("trouble: %s", world.trouble ? "yes" : "no");
    world.discovery = std::make_unique<Discovery>(world.servers);
    world.sidecar = std::make_unique<Sidecar>(argv[1], argv[2], folder);
    verdict = rule_held(world) ? 0 : 1;
  } catch (const CannotRun& failure) {
    RECORD("cannot run: %s", failure.why.c_str());
  } catch (const std::exception& failure) {
    RECORD("cannot run: %s", failure.what());
  }
  if (world.sidecar) world.sidecar->Kill();
  std::ifstream log(std::string(folder) + "/sidecar.log");
  for (std::string line; std::getline(log, line);) RECORD("sidecar's log: %.300s", line.c_str());
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
  RECORD("verdict: %s", verdict == 0 ? "the rule held" : verdict == 1 ? "the rule was broken" : "could not run");
  std::printf("%s\n", verdict == 0 ? "the rule held" : verdict == 1 ? "the rule was broken" : "could not run");
  std::fflush(stdout);
  ::_exit(verdict);
}

}  // namespace review

#endif  // REVIEW_STAND_IN_HPP_
