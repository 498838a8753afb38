// The configuration: how the file and the environment are read, and one-line errors for invalid input.
#include "net/config.hpp"

#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)
using Json = nlohmann::json;

TEST(Config, FlattenWritesThePairsThatTheAdapterReads) {
  const Json settings = {{"allowed", {{"cancel", true}, {"open_cap", 250000.0}}},
                         {"azs", {"a b", "c,d"}},
                         {"costs", {{"waste", 0.04}}},
                         {"grades", {{{"name", "x"}}, {{"name", "y"}}}},
                         {"tenants", Json::array()},
                         {"unset", nullptr}};
  EXPECT_EQ(Flatten(settings),
            "allowed.cancel=true allowed.open_cap=250000 azs=a_b,c_d costs.waste=0.04 grades.count=2 "
            "grades.0.name=x grades.1.name=y tenants=");
}

TEST(Config, ReadsEveryPartOfTheConfiguration) {
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 81);
  const Config config = ParseConfig(ConfigJson(at, {Entry("s1", at)}).dump(), {"127.0.0.2:80", "", ""});
  EXPECT_EQ(Text(config.listen), "127.0.0.2:80");  // from the environment
  EXPECT_EQ(Text(config.discovery), "127.0.0.1:81");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(config.descriptor_limit, 1024U);
  ASSERT_EQ(config.wire.settings.classes.size(), 3U);
  EXPECT_EQ(config.wire.settings.classes[2].repeat, Repeat::kNever);
  EXPECT_EQ(config.wire.settings.dial_timeout, 250'000);
  EXPECT_EQ(config.wire.settings.zone, 0);
  EXPECT_EQ(config.class_names, (std::vector<std::string>{"look", "pay", "port"}));
  EXPECT_FALSE(config.management);
  ASSERT_EQ(config.last_known_list.endpoints.size(), 1U);
  EXPECT_EQ(config.last_known_list.endpoints[0].address, at);
}

TEST(Config, EnvironmentOverridesTheManagementAddressOfTheFile) {
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 81);
  Json json = ConfigJson(at, {});
  EXPECT_EQ(Text(ParseConfig(json.dump(), {"", "", "127.0.0.3:82"}).management.value()), "127.0.0.3:82");
  json["mgmt"] = "127.0.0.4:83";
  EXPECT_EQ(Text(ParseConfig(json.dump()).management.value()), "127.0.0.4:83");
  EXPECT_EQ(Text(ParseConfig(json.dump(), {"", "", "127.0.0.3:82"}).management.value()), "127.0.0.3:82");
}

TEST(Config, AcceptsAnInheritedListeningSocketAndRejectsAnyOtherDescriptor) {
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 81);
  char path[] = "/tmp/fennelhollow-config-XXXXXX";
  ::close(::mkstemp(path));
  std::ofstream(path) << ConfigJson(at, {}).dump();
  const auto load = [&](const std::string& fd) {
    return LoadConfig([&](const char* name) -> const char* {
      if (std::string(name) == "EDGE_CONFIG") return path;
      return std::string(name) == "EDGE_ACCEPT_FD" ? fd.c_str() : nullptr;
    });
  };
  asio::io_context io;
  Tcp::acceptor listener(io, Loopback());
  Tcp::socket other(io, Tcp::v4());
  EXPECT_FALSE(load("").accept_fd);
  EXPECT_EQ(load(std::to_string(listener.native_handle())).accept_fd, listener.native_handle());
  for (const std::string& wrong :
       {std::string("seven"), std::string("7x"), std::string("-1"), std::string("100000"), std::string("1e1"),
        std::to_string(other.native_handle())}) {
    try {
      load(wrong);
      ADD_FAILURE() << "accepted: " << wrong;
    } catch (const ConfigError& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
  std::remove(path);
}

TEST(Config, InvalidConfigurationIsReportedInOneLine) {
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 81);
  std::vector<std::string> texts = {"", "{", "[]", "{}"};
  const auto add_variant = [&](const char* path, const Json& value) {
    Json json = ConfigJson(at, {Entry("s1", at)});
    json[Json::json_pointer(path)] = value;
    texts.push_back(json.dump());
  };
  add_variant("/listen", "nowhere");
  add_variant("/discovery", 7);
  add_variant("/seed", "xyz");
  add_variant("/mgmt", "nowhere");
  add_variant("/mgmt", 7);
  add_variant("/limits/sockets", 3);
  add_variant("/settings/grades/0/repeat", "sometimes");
  add_variant("/settings/quantum_us", "soon");
  add_variant("/known/instances/0/lifecycle", "unsure");
  for (const std::string& text : texts) {
    try {
      ParseConfig(text);
      ADD_FAILURE() << "accepted: " << text;
    } catch (const ConfigError& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
}

}  // namespace
}  // namespace merlinrun::net
