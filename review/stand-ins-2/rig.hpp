// Stand-ins for the clients, the servers, discovery and the platform, for the cases from 6 on. Blocking sockets
// on 127.0.0.1, one thread per connection, the real clock. Times are in seconds since the start of the run.
#ifndef ROOKHUB_REVIEW_RIG_HPP_
#define ROOKHUB_REVIEW_RIG_HPP_

#include <arpa/inet.h>
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
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using Json = nlohmann::json;

// ---- Time, the record, the environment ----

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void SleepUntil(double time) { Sleep(time - Now()); }
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The record of the run: one line for each event, with its time.
class Record {
 public:
  static void Open(const std::string& path) { Get().file_ = std::fopen(path.c_str(), "w"); }
  __attribute__((format(printf, 1, 2))) static void Line(const char* format, ...) {
    char text[400];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    Record& record = Get();
    const std::lock_guard lock(record.mutex_);
    if (record.file_ == nullptr) return;
    std::fprintf(record.file_, "%9.4f %s\n", Now(), text);
    std::fflush(record.file_);
  }

 private:
  static Record& Get() {
    static Record record;
    return record;
  }
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
};

// The case could not run: exit status 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline std::string Environment(const char* name) {
  const char* const value = std::getenv(name);
  if (value == nullptr || *value == 0) throw CannotRun(std::string(name) + " is not set");
  return value;
}
inline bool WithTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Objects that threads use until the process ends are never destroyed.
template <typename T, typename... Arguments>
T& Forever(Arguments&&... arguments) {
  return *new T(std::forward<Arguments>(arguments)...);
}

// ---- Sockets and HTTP ----

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline std::string Text(int port) { return "127.0.0.1:" + std::to_string(port); }

// A socket bound to a free port of the loopback address. Without Listen it reserves the port for a program that
// sets SO_REUSEADDR and listens there.
inline int Bound(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw CannotRun("no free port");
  port = ntohs(address.sin_port);
  return fd;
}

// One connection, with what has been received and not used yet.
struct Connection {
  int fd = -1;
  std::string input;
  double first_byte = 0;  // of the message that is being received

  explicit Connection(int descriptor = -1) : fd(descriptor) {
    const int on = 1;
    if (fd >= 0) ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { Close(); }
  void Close() {
    if (fd >= 0) ::close(std::exchange(fd, -1));
    input.clear();
  }
  bool Dial(int port) {
    Close();
    fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = Loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return true;
    Close();
    return false;
  }
  bool Write(const std::string& text) const {
    for (std::size_t done = 0; done < text.size();) {
      const ssize_t n = ::send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  enum class Got { kData, kTimeout, kEnd, kReset };
  // Receives more input, until `deadline` at most.
  Got Receive(double deadline) {
    pollfd waiting{fd, POLLIN, 0};
    const double left = std::max(deadline - Now(), 0.0);
    const int ready = ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1);
    if (ready <= 0) return Got::kTimeout;
    char chunk[65536];
    const ssize_t n = ::recv(fd, chunk, sizeof chunk, 0);
    if (n == 0) return Got::kEnd;
    if (n < 0) return Got::kReset;
    if (input.empty()) first_byte = Now();
    input.append(chunk, static_cast<std::size_t>(n));
    return Got::kData;
  }
  // Whether the peer has closed or reset the connection, or sent something unasked.
  bool Stale() const {
    pollfd waiting{fd, POLLIN | POLLRDHUP, 0};
    return fd < 0 || ::poll(&waiting, 1, 0) != 0;
  }
};

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
  std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

inline Message ParseHead(const std::string& head) {
  Message message;
  std::istringstream lines(head);
  std::string line;
  std::getline(lines, line);
  message.first_line = line.substr(0, line.find('\r'));
  while (std::getline(lines, line) && line != "\r") {
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    std::string value = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
    message.headers[name] = value;
  }
  return message;
}

// Reads one complete message with a Content-Length, a chunked body, or none. `progress` is told how much of a body
// with a length has been read.
inline Connection::Got ReadMessage(Connection& connection, double deadline, Message& message,
                                   const std::function<void(std::size_t)>& progress = {}) {
  using Got = Connection::Got;
  const auto need = [&](std::size_t size) {
    while (connection.input.size() < size) {
      if (progress) progress(connection.input.size());
      if (const Got got = connection.Receive(deadline); got != Got::kData) return got;
    }
    return Got::kData;
  };
  std::size_t end = 0;
  while ((end = connection.input.find("\r\n\r\n")) == std::string::npos)
    if (const Got got = connection.Receive(deadline); got != Got::kData) return got;
  message = ParseHead(connection.input.substr(0, end + 2));
  connection.input.erase(0, end + 4);
  if (message.header("transfer-encoding") == "chunked") {
    for (;;) {
      std::size_t line = 0;
      while ((line = connection.input.find("\r\n")) == std::string::npos)
        if (const Got got = connection.Receive(deadline); got != Got::kData) return got;
      const std::size_t size = std::strtoul(connection.input.c_str(), nullptr, 16);
      if (const Got got = need(line + 2 + size + 2); got != Got::kData) return got;
      message.body += connection.input.substr(line + 2, size);
      connection.input.erase(0, line + 2 + size + 2);
      if (size == 0) return Got::kData;
    }
  }
  const std::size_t size = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
  if (const Got got = need(size); got != Got::kData) return got;
  message.body = connection.input.substr(0, size);
  connection.input.erase(0, size);
  return Got::kData;
}

// Accepts connections at an address of its own and runs `serve` in a thread for each. The threads are never
// joined: the process ends by _exit once the case is decided.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;
  explicit Listener(Serve serve) : serve_(std::move(serve)) {
    fd_ = Bound(port_);
    if (::listen(fd_, 512) != 0) throw CannotRun("cannot listen");
    std::thread([this] {
      while (!stopped_) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, fd] {
          Connection connection(fd);
          serve_(connection);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  // No new connection is accepted from now on; the open ones go on.
  void Stop() {
    stopped_ = true;
    ::shutdown(fd_, SHUT_RDWR);
  }

 private:
  const Serve serve_;
  std::atomic<bool> stopped_{false};
  int fd_ = -1;
  int port_ = 0;
};

// ---- Servers ----

struct Arrival {
  std::string server;
  std::string id;  // Req-Id; the stand-in for the client begins it with "c<sidecar>-"
  double first_byte = 0;
  double last_byte = 0;
};

// A server that answers each request with 200 after its work. `special` may handle a request otherwise and
// returns whether the connection goes on; it is asked before the default.
class Server {
 public:
  using Special = std::function<std::optional<bool>(Connection&, const Message&)>;
  explicit Server(std::string id, double work = 0.1) : id_(std::move(id)), work_(work), listener_([this](Connection& c) { Serve(c); }) {}

  const std::string& id() const { return id_; }
  int port() const { return listener_.port(); }
  void SetSpecial(Special special) { special_ = std::move(special); }
  // Called with how much of the body of a request has been read, while more of it is to come.
  void SetOnPart(std::function<void(std::size_t)> on_part) { on_part_ = std::move(on_part); }
  // From now on nothing is read or written on any connection, and nothing is closed.
  void Vanish() { silent_ = true; }
  std::vector<Arrival> arrivals() const {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  // `zone` and `type` must be names of the settings.
  Json Entry(const std::string& lifecycle = "up", const char* zone = "utrecht", const char* type = "middel") const {
    return {{"instanceId", id_}, {"hostPort", Text(port())}, {"zone", zone},  {"machineType", type},
            {"cell", 1},         {"lifecycle", lifecycle},   {"weight", 1.0}, {"startedAtMs", 0}};
  }

 private:
  void StopIfSilent() const {
    while (silent_) Sleep(0.05);
  }
  void Serve(Connection& connection) {
    for (;;) {
      pollfd waiting{connection.fd, POLLIN, 0};
      while (connection.input.empty() && ::poll(&waiting, 1, 20) == 0) StopIfSilent();
      StopIfSilent();
      Message request;
      const auto progress = [this](std::size_t size) {
        if (on_part_) on_part_(size);
        StopIfSilent();
      };
      if (ReadMessage(connection, Now() + 60, request, progress) != Connection::Got::kData) return;
      const double last_byte = Now();
      StopIfSilent();
      {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back({id_, request.header("req-id"), connection.first_byte, last_byte});
      }
      Record::Line("run %s at %s, told deadline %s", request.header("req-id").c_str(), id_.c_str(),
                   request.header("req-deadline").c_str());
      if (special_)
        if (const auto goes_on = special_(connection, request)) {
          if (!*goes_on) return;
          continue;
        }
      Sleep(work_);
      StopIfSilent();
      const std::string body = "answer of " + id_ + " to " + request.header("req-id") + "\n";
      if (!connection.Write("HTTP/1.1 200 OK\r\nSrv-Load: TEXT queue=0, util=0.30\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }

  const std::string id_;
  const double work_;
  Special special_;
  std::function<void(std::size_t)> on_part_;
  std::atomic<bool> silent_{false};
  mutable std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  Listener listener_;
};

// ---- Discovery ----

// One list for all sidecars, served at one address for each, so that what is written is known by sidecar.
class Discovery {
 public:
  // What happens to a call before it is answered: the delay, then the answer or 503. With `gap` the first object of
  // a watch comes in two pieces, so long after each other.
  struct Handling {
    double delay = 0;
    bool fails = false;
    double gap = 0;
  };
  Discovery(int sidecars) : written_(static_cast<std::size_t>(sidecars)), watches_(static_cast<std::size_t>(sidecars), 0) {
    for (int i = 0; i < sidecars; ++i)
      listeners_.push_back(std::make_unique<Listener>([this, i](Connection& c) { Serve(c, i); }));
  }
  int port(int sidecar) const { return listeners_.at(static_cast<std::size_t>(sidecar))->port(); }
  // The address of this sidecar takes no new connections any more.
  void StopAccepting(int sidecar) { listeners_.at(static_cast<std::size_t>(sidecar))->Stop(); }

  void Put(const Json& entry) {
    const std::lock_guard lock(mutex_);
    entries_[entry.at("instanceId")] = {entry, ++generation_};
    Record::Line("discovery: generation %lld: %s %s", static_cast<long long>(generation_),
                 entry.at("instanceId").get<std::string>().c_str(),
                 entry.at("lifecycle").get<std::string>().c_str());
    changed_.notify_all();
  }
  void SetHandling(Handling handling) {
    const std::lock_guard lock(mutex_);
    handling_ = handling;
  }
  // All open watches end in order, without telling what has changed.
  void EndWatches() {
    const std::lock_guard lock(mutex_);
    ++epoch_;
    changed_.notify_all();
  }
  Json FullList() const {
    const std::lock_guard lock(mutex_);
    return Changes(-1);
  }
  std::int64_t generation() const {
    const std::lock_guard lock(mutex_);
    return generation_;
  }
  // Open watches of a sidecar.
  int watches(int sidecar) const {
    const std::lock_guard lock(mutex_);
    return watches_.at(static_cast<std::size_t>(sidecar));
  }
  // When a generation or a later one was first written to this sidecar; negative: never.
  double WrittenAt(int sidecar, std::int64_t generation) const {
    const std::lock_guard lock(mutex_);
    for (const auto& [written, time] : written_.at(static_cast<std::size_t>(sidecar)))
      if (written >= generation) return time;
    return -1;
  }

 private:
  // The entries after a generation; all of them, as a whole list, after -1.
  Json Changes(std::int64_t after) const {
    Json list = {{"generation", generation_}, {"reset", after < 0}, {"instances", Json::array()}};
    for (const auto& [id, entry] : entries_)
      if (entry.second > after && (after >= 0 || entry.first.at("lifecycle") != "removed"))
        list["instances"].push_back(entry.first);
    return list;
  }
  void MarkWritten(int sidecar, std::int64_t generation) {
    written_.at(static_cast<std::size_t>(sidecar)).emplace_back(generation, Now());
  }
  static std::string Chunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }

  void Serve(Connection& connection, int sidecar) {
    Message request;
    while (ReadMessage(connection, Now() + 60, request) == Connection::Got::kData) {
      std::unique_lock lock(mutex_);
      const Handling handling = handling_;
      lock.unlock();
      Record::Line("discovery: call of sidecar %d: %s", sidecar, request.first_line.c_str());
      Sleep(handling.delay);
      if (handling.fails) {
        Record::Line("discovery: 503 to sidecar %d", sidecar);
        connection.Write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
      }
      if (connection.Stale()) return;  // the caller is gone: nothing is told
      const std::size_t index = request.first_line.find("index=");
      lock.lock();
      if (index == std::string::npos) {
        const std::string text = Changes(-1).dump() + "\n";
        MarkWritten(sidecar, generation_);
        lock.unlock();
        Record::Line("discovery: whole list to sidecar %d", sidecar);
        if (!connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text))
          return;
        continue;
      }
      return Watch(connection, sidecar, std::atoll(request.first_line.c_str() + index + 6), handling.gap, lock);
    }
  }
  void Watch(Connection& connection, int sidecar, std::int64_t after, double gap, std::unique_lock<std::mutex>& lock) {
    const int epoch = epoch_;
    int& watches = watches_.at(static_cast<std::size_t>(sidecar));
    ++watches;
    bool ok = connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    bool first = true;
    while (ok && epoch == epoch_) {
      if (connection.Stale()) break;  // the caller is gone: nothing is told
      std::string text = "\n";
      if (generation_ > after) {
        text = Changes(after).dump() + "\n";
        after = generation_;
        MarkWritten(sidecar, after);
        Record::Line("discovery: changes up to generation %lld to sidecar %d", static_cast<long long>(after), sidecar);
        if (gap > 0) {
          const std::string piece = text.substr(0, text.size() / 2);
          text.erase(0, piece.size());
          ok = connection.Write(Chunk(piece));
          lock.unlock();
          Sleep(std::exchange(gap, 0));
          lock.lock();
          Record::Line("discovery: the rest of them to sidecar %d", sidecar);
        }
      }
      if (!ok) break;
      ok = connection.Write(Chunk(text));
      if (std::exchange(first, false)) Record::Line("discovery: watch of sidecar %d is open", sidecar);
      changed_.wait_for(lock, std::chrono::seconds(2), [&] { return generation_ > after || epoch != epoch_; });
    }
    --watches;
    lock.unlock();
    if (ok) connection.Write("0\r\n\r\n");
    Record::Line("discovery: watch of sidecar %d has ended", sidecar);
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::pair<Json, std::int64_t>> entries_;
  std::int64_t generation_ = 0;
  int epoch_ = 0;
  Handling handling_;
  std::vector<std::vector<std::pair<std::int64_t, double>>> written_;
  std::vector<int> watches_;
  std::vector<std::unique_ptr<Listener>> listeners_;
};

// ---- The platform: starts, signals and restarts one sidecar ----

// The settings of the message PROVISION on the operators' page, as nested JSON.
inline Json LichtnetSettings(int sidecars, int rank) {
  Json tenants = Json::array();
  const std::pair<const char*, double> shares[] = {{"gem-a", 0.23}, {"gem-b", 0.16}, {"gem-c", 0.15}, {"gem-d", 0.13},
                                                   {"gem-e", 0.12}, {"gem-f", 0.12}, {"gem-g", 0.09}};
  for (const auto& [name, share] : shares)
    tenants.push_back({{"name", name}, {"share", share}, {"quota_per_s", 90 * share}});
  return {
      {"allowed",
       {{"cancel", true}, {"conn_idle_us", 60000000}, {"cpu_us_per_request", 10.0}, {"cpu_us_per_s", 8000},
        {"dial_timeout_us", 250000}, {"max_attempts", 4}, {"max_retry_after_us", 2000000}, {"open_cap", 20000},
        {"parallel_tries", true}, {"peers", false}, {"probes", false}, {"retry_after", true}, {"streams_per_conn", 1}}},
      {"azs", {"utrecht", "zwolle", "eindhoven"}},
      {"callers", {{"marks_retry", true}}},
      {"costs", {{"cross_zone", 0.03}, {"late_fail", 0.05}, {"waste", 0.3}}},
      {"family", "mesh"},
      {"goal", {{"whole", 0.3}, {"worst_class", 0.2}, {"worst_tenant", 0.1}, {"worst_window", 0.4}}},
      {"grades",
       {{{"aim_us", 1500000}, {"group", "all"}, {"hard_limit_us", 6000000}, {"importance", 1.0}, {"late_value", 0.0},
         {"name", "status"}, {"repeat", "idempotent"}, {"stream", false}, {"window_us", 5000000}},
        {{"aim_us", 2500000}, {"group", "zone"}, {"hard_limit_us", 6000000}, {"importance", 8.0}, {"late_value", 0.0},
         {"name", "schakel-opdracht"}, {"repeat", "deduplicated"}, {"stream", false}, {"window_us", 30000000}}}},
      {"host_types", {"groot", "middel", "klein"}},
      {"membership_mode", "subscribe"},
      {"my_zone", "utrecht"},
      {"over_share_worth", 0.05},
      {"quantum_us", 5000},
      {"rank", rank},
      {"rules",
       {{"answer_slack_us", 20000}, {"ask_within_us", 10000000}, {"cold_from", 0.3}, {"drain_grace_us", 2000000},
        {"fall_us", 1500000}, {"overload_factor", 3.0}, {"warm_after_us", 8800000}}},
      {"siblings", sidecars},
      {"stages", {"schakel"}},
      {"telemetry", {{"fields", {"pending", "cpu_share"}}, {"via", "answers"}}},
      {"tenants", tenants},
      {"tier", 0},
      {"value_by", "work"},
      {"weights", "rough"}};
}

// The same for the site liga-glowna.
inline Json LigaSettings(int sidecars, int rank) {
  Json settings = LichtnetSettings(sidecars, rank);
  settings["allowed"]["conn_idle_us"] = 30000000;
  settings["allowed"]["dial_timeout_us"] = 120000;
  settings["allowed"]["max_attempts"] = 5;
  settings["allowed"]["max_retry_after_us"] = 1500000;
  settings["azs"] = {"warszawa", "poznan", "krakow"};
  settings["my_zone"] = "warszawa";
  settings["costs"] = {{"cross_zone", 0.03}, {"late_fail", 0.044}, {"membership_mode", 0.005}, {"waste", 0.04}};
  settings["goal"] = {{"whole", 0.65}, {"worst_class", 0.2}, {"worst_window", 0.15}};
  const auto grade = [](const char* name, const char* repeat, const char* group, int aim_ms, int deadline_ms,
                        int window_ms, double importance, double late_value) {
    return Json{{"aim_us", aim_ms * 1000},   {"group", group},       {"hard_limit_us", deadline_ms * 1000},
                {"importance", importance},  {"late_value", late_value}, {"name", name},
                {"repeat", repeat},          {"stream", false},      {"window_us", window_ms * 1000}};
  };
  settings["grades"] = {grade("sklad-odczyt", "idempotent", "all", 500, 1000, 5000, 5, 0.25),
                        grade("transfer", "deduplicated", "cell", 250, 750, 4000, 5, 0.3),
                        grade("zakup-kredyty", "deduplicated", "zone", 600, 1500, 3000, 15, 0.5)};
  settings["host_types"] = {"duzy", "maly"};
  settings["over_share_worth"] = 1.0;
  settings["rules"]["drain_grace_us"] = 300000;
  settings["rules"]["overload_factor"] = 4.0;
  settings["rules"]["warm_after_us"] = 7300000;
  settings["stages"] = {"serwery-gry"};
  settings["telemetry"]["fields"] = {"pending", "busy_reqs"};
  settings["tenants"] = Json::array();
  return settings;
}

// One sidecar, started by the deploy file's `run` from the root of the repository.
class Sidecar {
 public:
  Sidecar(int number, const Json& settings, int discovery_port, const std::string& folder)
      : name_("n" + std::to_string(number)), settings_(settings), discovery_(discovery_port), folder_(folder + "/" + name_) {
    reserved_ = Bound(port_);
    if (std::system(("mkdir -p '" + folder_ + "/tmp'").c_str()) != 0) throw CannotRun("no temporary folder");
  }
  ~Sidecar() { Kill(); }
  int port() const { return port_; }
  pid_t pid() const { return pid_; }

  void Start(const Json& known) {
    static std::random_device random;
    char seed[20];
    std::snprintf(seed, sizeof seed, "%08x%08x", random(), random());
    config_ = {{"name", name_}, {"listen", Text(port_)}, {"discovery", Text(discovery_)}, {"seed", seed},
               {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 512}}},
               {"known", known}, {"settings", settings_}};
    const std::string file = folder_ + "/config.json";
    std::ofstream(file) << config_.dump() << "\n";
    const std::string root = Environment("ROOT");
    const std::string run = Environment("RUN");
    const std::string log = folder_ + "/log";
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent || ::chdir(root.c_str()) != 0) ::_exit(127);
      ::setenv("EDGE_NAME", name_.c_str(), 1);
      ::setenv("EDGE_LISTEN", Text(port_).c_str(), 1);
      ::setenv("EDGE_DISCOVERY", Text(discovery_).c_str(), 1);
      ::setenv("EDGE_CONFIG", file.c_str(), 1);
      ::setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
      if (std::freopen(log.c_str(), "a", stdout) == nullptr || ::dup2(1, 2) < 0) ::_exit(127);
      ::execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
      ::_exit(127);
    }
    if (pid_ < 0) throw CannotRun("cannot start the sidecar");
    Record::Line("platform: %s started, seed %s", name_.c_str(), seed);
  }
  // Replaces the configuration file by one that names another address of discovery, and sends SIGHUP.
  void Reload(int discovery_port) {
    config_["discovery"] = Text(discovery_port);
    const std::string file = folder_ + "/config.json";
    std::ofstream(file + ".new") << config_.dump() << "\n";
    if (std::rename((file + ".new").c_str(), file.c_str()) != 0) throw CannotRun("the configuration cannot be replaced");
    Signal(SIGHUP);
  }
  // Waits until GET /ready is answered with 200.
  void WaitUntilReady(double limit = 10) const {
    const double until = Now() + limit;
    while (Now() < until) {
      Connection connection;
      Message answer;
      if (connection.Dial(port_) && connection.Write("GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n") &&
          ReadMessage(connection, Now() + 1, answer) == Connection::Got::kData && answer.status() == 200)
        return;
      Sleep(0.02);
    }
    throw CannotRun(name_ + " is not ready");
  }
  void Signal(int signal) const {
    Record::Line("platform: signal %d to %s", signal, name_.c_str());
    ::kill(pid_, signal);
  }
  // Whether the process has ended, and then its wait status.
  std::optional<int> Ended() {
    if (pid_ <= 0) return ended_;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
    pid_ = -1;
    return ended_ = status;
  }
  void Kill() {
    if (pid_ <= 0) return;
    Signal(SIGKILL);
    int status = 0;
    ::waitpid(std::exchange(pid_, -1), &status, 0);
    ended_ = status;
  }
  const std::string& name() const { return name_; }

 private:
  const std::string name_;
  const Json settings_;
  Json config_;
  const int discovery_;
  const std::string folder_;
  int port_ = 0;
  int reserved_ = -1;
  pid_t pid_ = -1;
  std::optional<int> ended_;
};

// ---- Clients ----

inline std::string FreshId(int sidecar) {
  static std::atomic<int> last{0};
  return "c" + std::to_string(sidecar) + "-" + std::to_string(++last);
}
inline int SidecarOf(const std::string& id) { return id.size() > 1 && id[0] == 'c' ? std::atoi(id.c_str() + 1) : -1; }

// The headers of a request of a class that is safe to repeat, and how long its client waits.
struct Kind {
  std::string headers = "Req-Kind: status\r\nReq-Owner: gem-a\r\nReq-Cost: 100000\r\n";
  double deadline = 2.6;
};

inline std::string SafeRequest(const std::string& id, const Kind& kind) {
  char deadline[20];
  std::snprintf(deadline, sizeof deadline, "%.3f", kind.deadline);
  return "GET /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id + "\r\n" + kind.headers + "Req-Deadline: " + deadline +
         "\r\n\r\n";
}

// A client that sends requests to one sidecar, one after the other, over a connection that it keeps.
class SteadyClient {
 public:
  SteadyClient(int sidecar, int port, double pause, const Kind& kind = {}) {
    thread_ = std::thread([this, sidecar, port, pause, kind] {
      Connection connection;
      while (!stopped_) {
        const std::string id = FreshId(sidecar);
        Message answer;
        if ((connection.Stale() && !connection.Dial(port)) || !connection.Write(SafeRequest(id, kind))) {
          connection.Close();
          Sleep(0.1);
          continue;
        }
        const auto got = ReadMessage(connection, Now() + kind.deadline + 0.6, answer);
        if (got != Connection::Got::kData || answer.header("connection") == "close") connection.Close();
        Record::Line("client: %s answered %d", id.c_str(), got == Connection::Got::kData ? answer.status() : 0);
        if (answer.status() == 200) ++served_;
        Sleep(pause);
      }
    });
  }
  ~SteadyClient() {
    stopped_ = true;
    thread_.join();
  }
  int served() const { return served_; }

 private:
  std::atomic<bool> stopped_{false};
  std::atomic<int> served_{0};
  std::thread thread_;
};

// Runs a case: its result is whether the rule held. Never returns.
[[noreturn]] inline void Main(const std::function<bool(const std::string& folder)>& run) {
  int status = 2;
  ::signal(SIGPIPE, SIG_IGN);
  try {
    Record::Open(Environment("RECORD"));
    Now();
    status = run(Environment("FOLDER")) ? 0 : 1;
    Record::Line("result: the rule %s", status == 0 ? "held" : "was broken");
    std::printf("the rule %s\n", status == 0 ? "held" : "was broken");
  } catch (const std::exception& error) {
    Record::Line("cannot run: %s", error.what());
    std::printf("cannot run: %s\n", error.what());
  }
  std::fflush(nullptr);
  ::_exit(status);
}

}  // namespace rig

#endif  // ROOKHUB_REVIEW_RIG_HPP_
