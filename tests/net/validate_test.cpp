// The checks of headers: malformed requests and answers are rejected, also where the HTTP library accepts
// them.
#include "net/validate.hpp"

#include <gtest/gtest.h>

#include <boost/beast/http.hpp>
#include <string>

namespace merlinrun::net {
namespace {

// The status with which a request with this start line and these fields is rejected; 0 if it is accepted.
int RejectionStatus(const std::string& start, const std::string& fields, bool with_id = true) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(64 * 1024);
  parser.body_limit(std::uint64_t{1} << 40);
  ErrorCode error;
  const std::string text = start + " HTTP/1.1\r\n" + (with_id ? "Req-Id: r1\r\n" : "") + fields + "\r\n";
  parser.put(asio::buffer(text), error);
  if (error && error != http::error::need_more) return 400;  // the library itself rejects it
  EXPECT_TRUE(parser.is_header_done()) << text;
  const auto rejection = CheckRequest(parser.get());
  return rejection ? static_cast<int>(rejection->status) : 0;
}

TEST(CheckRequest, AcceptsRequestsThatFollowTheProtocol) {
  EXPECT_EQ(RejectionStatus("GET /api?obj=7f", "Req-Kind: a\r\nReq-Deadline: 0.480\r\n"), 0);
  EXPECT_EQ(RejectionStatus("GET /api", "Content-Length: 0\r\nReq-Deadline: 3\r\n"), 0);
  EXPECT_EQ(RejectionStatus("POST /api",
                            "Content-Length: 65536\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n"),
            0);
  EXPECT_EQ(RejectionStatus("POST /api", "Transfer-Encoding: Chunked\r\n"), 0);
  EXPECT_EQ(RejectionStatus("GET /ready", "", /*with_id=*/false), 0);
}

TEST(CheckRequest, RejectsAmbiguousAndMalformedRequests) {
  const struct {
    int status;
    std::string start;
    std::string fields;
  } cases[] = {
      {400, "POST /api", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"},
      {400, "POST /api", "transfer-encoding: CHUNKED\r\ncontent-length: 4\r\n"},
      {400, "POST /api", "Content-Length: 4\r\nContent-Length: 4\r\n"},
      {400, "POST /api", "Content-Length: 4\r\nContent-Length: 5\r\n"},
      {400, "POST /api", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
      {400, "POST /api", "Transfer-Encoding: gzip, chunked\r\n"},
      {400, "POST /api", "Transfer-Encoding: identity\r\n"},
      {400, "POST /api", "Transfer-Encoding: xchunked\r\n"},
      {400, "POST /api", "Content-Length: +4\r\n"},
      {400, "POST /api", "Content-Length: -4\r\n"},
      {400, "POST /api", "Content-Length: 0x4\r\n"},
      {400, "POST /api", "Content-Length: 4, 4\r\n"},
      {400, "POST /api", "Content-Length: 99999999999999999999\r\n"},
      {413, "POST /api", "Content-Length: 33554433\r\n"},
      {413, "POST /api", "Content-Length: 60000000\r\n"},
      {417, "POST /api", "Content-Length: 4\r\nExpect: 200-ok\r\n"},
      {417, "POST /api", "Content-Length: 4\r\nExpect: 100-continue\r\nExpect: 100-continue\r\n"},
      {400, "GET /api", "Content-Length: 4\r\n"},
      {400, "GET /api", "Transfer-Encoding: chunked\r\n"},
      {400, "GET http://elsewhere/api", ""},
      {400, "GET /" + std::string(5000, 'x'), ""},
      {400, "GET /api", "Req-Id: r2\r\n"},
      {400, "GET /api", "Req-Kind: a\r\nREQ-KIND: b\r\n"},
      {400, "GET /api", "Req-Deadline: 1\r\nReq-Deadline: 2\r\n"},
      {400, "POST /api", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"},
      {400, "GET /api", "Host: a\r\nHost: b\r\n"},
      {400, "GET /api", "Req-Deadline: 0\r\n"},
      {400, "GET /api", "Req-Deadline: 0.000\r\n"},
      {400, "GET /api", "Req-Deadline: -1\r\n"},
      {400, "GET /api", "Req-Deadline: +1\r\n"},
      {400, "GET /api", "Req-Deadline: nan\r\n"},
      {400, "GET /api", "Req-Deadline: inf\r\n"},
      {400, "GET /api", "Req-Deadline: 1e3\r\n"},
      {400, "GET /api", "Req-Deadline: 1s\r\n"},
      {400, "GET /api", "Req-Deadline: \r\n"},
      {400, "GET /api", "Req-Deadline: 99999999\r\n"},
  };
  for (const auto& c : cases)
    EXPECT_EQ(RejectionStatus(c.start, c.fields), c.status) << c.start << " " << c.fields;
  for (const std::string& id : {std::string(), std::string("a b"), std::string("a,b"), std::string(65, 'x')})
    EXPECT_EQ(RejectionStatus("GET /api", "Req-Id: " + id + "\r\n", /*with_id=*/false), 400) << id;
  EXPECT_EQ(RejectionStatus("GET /api", "", /*with_id=*/false), 400);
  EXPECT_EQ(RejectionStatus("HEAD /ready", "", /*with_id=*/false), 405);
  std::string many;
  for (int i = 0; i < 64; ++i) many += "X" + std::to_string(i) + ": y\r\n";
  EXPECT_EQ(RejectionStatus("GET /api", many), 431);
}

TEST(CheckAgainstClass, RequiresTheMethodAndTheKeyOfTheClass) {
  const auto rejected = [](http::verb method, Repeat repeat, const char* key) {
    RequestHeader header;
    header.method(method);
    if (key != nullptr) header.set(kIdempotencyHeader, key);
    return CheckAgainstClass(header, repeat).has_value();
  };
  EXPECT_FALSE(rejected(http::verb::get, Repeat::kSafe, nullptr));
  EXPECT_FALSE(rejected(http::verb::post, Repeat::kDeduplicated, "k1"));
  EXPECT_FALSE(rejected(http::verb::post, Repeat::kNever, nullptr));
  EXPECT_TRUE(rejected(http::verb::post, Repeat::kSafe, nullptr));
  EXPECT_TRUE(rejected(http::verb::head, Repeat::kSafe, nullptr));
  EXPECT_TRUE(rejected(http::verb::get, Repeat::kSafe, "k1"));
  EXPECT_TRUE(rejected(http::verb::get, Repeat::kNever, nullptr));
  EXPECT_TRUE(rejected(http::verb::post, Repeat::kDeduplicated, nullptr));
  EXPECT_TRUE(rejected(http::verb::post, Repeat::kDeduplicated, ""));
  EXPECT_TRUE(rejected(http::verb::post, Repeat::kNever, "k1"));
}

TEST(IsAcceptableResponse, AcceptsOnlyUnambiguousFramingWithinTheBodyLimit) {
  const auto accepted = [](unsigned status,
                           std::initializer_list<std::pair<http::field, const char*>> fields) {
    ResponseHeader header;
    header.version(11);
    header.result(status);
    for (const auto& [name, value] : fields) header.insert(name, value);
    return IsAcceptableResponse(header);
  };
  const auto length = http::field::content_length;
  const auto coding = http::field::transfer_encoding;
  EXPECT_TRUE(accepted(200, {{length, "65536"}}));
  EXPECT_TRUE(accepted(200, {{coding, "chunked"}}));
  EXPECT_TRUE(accepted(100, {}));
  EXPECT_TRUE(accepted(204, {}));
  EXPECT_TRUE(accepted(200, {}));  // the body ends when the connection closes
  EXPECT_TRUE(accepted(200, {{length, "33554432"}}));
  EXPECT_FALSE(accepted(200, {{length, "33554433"}}));
  EXPECT_FALSE(accepted(200, {{length, "3221225472"}}));
  EXPECT_FALSE(accepted(200, {{length, "-1"}}));
  EXPECT_FALSE(accepted(200, {{length, "4"}, {length, "4"}}));
  EXPECT_FALSE(accepted(200, {{length, "4"}, {coding, "chunked"}}));
  EXPECT_FALSE(accepted(200, {{coding, "gzip"}}));
}

TEST(ParseLoadHeader, LeavesFieldsEmptyThatItCannotParse) {
  const LoadReport load =
      ParseLoadHeader("TEXT busy_reqs=7,pending=2,  novel=9, cpu_share=, svc_ms=-1, nothing, =4");
  EXPECT_EQ(load.busy, 7.0);
  EXPECT_EQ(load.waiting, 2.0);
  EXPECT_FALSE(load.cpu || load.service_ms || load.served_per_s || load.failed_per_s);
  for (const char* text : {"", "TEXT", "TEXT ", "JSON pending=2", "pending=2", "TEXT pending", "TEXT ,,,="})
    EXPECT_FALSE(ParseLoadHeader(text).waiting) << text;
}

}  // namespace
}  // namespace merlinrun::net
