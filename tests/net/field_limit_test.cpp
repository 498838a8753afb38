// Tests the limit on the number of fields of a message, which is checked before any of them is stored.
#include "net/field_limit.hpp"

#include "sidecar_fixture.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

std::string Fields(std::size_t count) {
  std::string fields;
  for (std::size_t i = 0; i < count; ++i) fields += "f" + std::to_string(i) + ":\r\n";
  return fields;
}

TEST(FieldLimitTest, CountsTheFieldsOfTheFirstHeaderOnly) {
  EXPECT_FALSE(HasMoreFieldsThan("GET / HTTP/1.1\r\n" + Fields(3) + "\r\nbody\r\n" + Fields(9), 3));
  EXPECT_TRUE(HasMoreFieldsThan("GET / HTTP/1.1\r\n" + Fields(4) + "\r\n", 3));
}

TEST(FieldLimitTest, DoesNotWaitForTheEndOfTheHeader) {
  EXPECT_TRUE(HasMoreFieldsThan("GET / HTTP/1.1\r\n" + Fields(4), 3));
  EXPECT_FALSE(HasMoreFieldsThan("GET / HTTP/1.1\r\n" + Fields(3) + "incomplete", 3));
  EXPECT_FALSE(HasMoreFieldsThan("", 3));
}

class MessageFieldsTest : public SidecarTest {
 protected:
  static std::string ChunkedPost(std::size_t trailer_fields) {
    return "POST /api HTTP/1.1\r\nReq-Id: t" + std::to_string(trailer_fields) +
           "\r\nReq-Kind: port\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" +
           Fields(trailer_fields) + "\r\n";
  }
  // A server whose answers have this many fields, or trailer fields.
  static std::function<void(Peer&)> AnswersWith(std::size_t fields, bool in_trailer) {
    return [=](Peer& peer) {
      peer.Write(in_trailer ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" +
                                  Fields(fields) + "\r\n"
                            : Reply("200 OK", "ok", Fields(fields)));
    };
  }
};

TEST_F(MessageFieldsTest, ARequestWithTooManyTrailerFieldsIsRejected) {
  ScriptedServer server(io, [](Peer& peer) {
    if (peer.received.find("body") != std::string::npos) peer.Write(Reply("200 OK", "ok"));
  });
  Start({Entry("s-1", server.address)});
  EXPECT_EQ(Ask(ChunkedPost(kMaxRequestFields)), "200");
  EXPECT_EQ(Ask(ChunkedPost(kMaxRequestFields + 1)), "431");
}

class AnswerFieldsTest : public MessageFieldsTest, public ::testing::WithParamInterface<bool> {};

TEST_P(AnswerFieldsTest, AnAnswerWithTheMostFieldsIsForwarded) {
  // Reply adds the Content-Length.
  ScriptedServer allowed(io, AnswersWith(kMaxAnswerFields - 1, GetParam()));
  Start({Entry("s-1", allowed.address)});
  EXPECT_EQ(Ask(Post("port", "a")), "200");
}

TEST_P(AnswerFieldsTest, AnAnswerWithTooManyFieldsFails) {
  ScriptedServer beyond(io, AnswersWith(kMaxAnswerFields + 1, GetParam()));
  Start({Entry("s-1", beyond.address)});
  EXPECT_EQ(Ask(Post("port", "a")), "502");
}

INSTANTIATE_TEST_SUITE_P(HeaderOrTrailer, AnswerFieldsTest, ::testing::Bool());

}  // namespace
}  // namespace merlinrun::net
