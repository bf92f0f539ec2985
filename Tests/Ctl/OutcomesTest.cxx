// Tests of what parsleycovectl makes of the answers of gateways.
#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

#include <boost/json/parse.hpp>

#include "Ctl/CommandLine.h"
#include "Ctl/CommandTable.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove; // NOLINT: of a test

namespace {

// One prepared reply: an answer, or a failure of the transport.
struct Reply
{
  unsigned m_status = 0;
  std::string m_body;
  TransportError m_error = TransportError::None;
};

const Reply kRefusedConnection{ 0, "", TransportError::NotSent };
const Reply kLostAnswer{ 0, "", TransportError::AnswerLost };

class CannedTransport final : public Transport
{
public:
  std::optional<AdminAnswer> Send(const SocketAddress& aServer,
                                  const AdminCall& aCall,
                                  TransportReason& aReason) override
  {
    m_servers.push_back(aServer.ToString());
    m_calls.push_back(aCall);
    Reply reply = kRefusedConnection;
    if (!m_replies.empty()) {
      reply = m_replies.front();
      m_replies.pop_front();
    }
    if (reply.m_error != TransportError::None) {
      aReason.Set(reply.m_error, "canned");
      return std::nullopt;
    }
    return AdminAnswer{ reply.m_status, reply.m_body };
  }

  std::deque<Reply> m_replies; // no reply left: the connection is refused
  std::vector<std::string> m_servers;
  std::vector<AdminCall> m_calls;
};

} // namespace

TEST_GROUP(CtlOutcomes)
{
  void setup() override
  {
    m_file = std::filesystem::temp_directory_path() /
             ("parsleycovectl-" + std::to_string(::getpid()) + ".json");
    std::ofstream(m_file) << R"({"remove_classes":["old"]})";
  }
  void teardown() override
  {
    std::filesystem::remove(m_file);
  }

  int Run(std::vector<std::string> aWords)
  {
    aWords.insert(
      aWords.end(),
      { "--server", "127.0.0.1:1,127.0.0.1:2", "--operator-key", "k" });
    CtlReason reason;
    const auto invocation = ParseCommandLine(aWords, {}, reason);
    CHECK_TRUE(invocation.has_value());
    return static_cast<int>(
      CommandTable().Run(*invocation, m_transport, m_out, m_errors));
  }
  int Apply(std::vector<std::string> aMore = {})
  {
    std::vector<std::string> words{ "apply", m_file,        "--base-revision",
                                    "4",     "--change-id", "c-1" };
    words.insert(words.end(), aMore.begin(), aMore.end());
    return Run(words);
  }
  void CheckChangeIds(std::size_t aCalls)
  {
    CHECK_EQUAL(aCalls, m_transport.m_calls.size());
    for (const AdminCall& call : m_transport.m_calls) {
      const auto body = boost::json::parse(call.m_body).as_object();
      STRCMP_EQUAL("c-1", body.at("change_id").as_string().c_str());
      CHECK_EQUAL(4, body.at("base_revision").as_int64());
    }
  }

  std::filesystem::path m_file;
  CannedTransport m_transport;
  std::ostringstream m_out;
  std::ostringstream m_errors;
};

TEST(CtlOutcomes, PassesOverAGatewayThatIsUnreachable)
{
  m_transport.m_replies = { kRefusedConnection,
                            { 200, R"({"classes":[{"name":"urgent"}]})" } };
  CHECK_EQUAL(0, Run({ "classes", "list" }));
  STRCMP_EQUAL("127.0.0.1:2", m_transport.m_servers.back().c_str());
  STRCMP_CONTAINS("urgent", m_out.str().c_str());
}

TEST(CtlOutcomes, SaysUnreachableWhenNoByteWasSent)
{
  CHECK_EQUAL(3, Apply());
}

TEST(CtlOutcomes, SaysRefusedAtOnceAndNamesTheCurrentRevision)
{
  m_transport.m_replies = {
    { 409,
      R"({"error":{"code":"revision_conflict","message":"m"},"revision":9})" }
  };
  CHECK_EQUAL(2, Apply());
  CHECK_EQUAL(1, m_transport.m_calls.size());
  STRCMP_CONTAINS("revision_conflict", m_errors.str().c_str());
  STRCMP_CONTAINS("current revision 9", m_errors.str().c_str());
}

TEST(CtlOutcomes, ResendsAChangeOfUnknownOutcomeWithTheSameId)
{
  m_transport.m_replies = {
    { 504, R"({"error":{"code":"outcome_unknown","message":"m"}})" },
    kLostAnswer,
    { 200, R"({"code":"ok","revision":5,"index":70,"in_force":false})" }
  };
  CHECK_EQUAL(0, Apply());
  CheckChangeIds(3);
  STRCMP_CONTAINS("revision 5, index 70", m_out.str().c_str());
}

TEST(CtlOutcomes, SaysUnknownWhenAnAnswerWasLostAndNoneCameLater)
{
  m_transport.m_replies = { kLostAnswer };
  CHECK_EQUAL(4, Apply());
  CheckChangeIds(6);
}

TEST(CtlOutcomes, NeverRepeatsACallWithoutAnId)
{
  m_transport.m_replies = { kRefusedConnection, kLostAnswer, { 200, "{}" } };
  CHECK_EQUAL(4, Run({ "actions", "resolve", "acme", "k-1", "--not-run" }));
  CHECK_EQUAL(2, m_transport.m_calls.size());
}

TEST(CtlOutcomes, SaysNotFound)
{
  m_transport.m_replies = { { 404, R"({"error":{"code":"not_found"}})" } };
  CHECK_EQUAL(5, Run({ "actions", "show", "acme", "k-1" }));
  m_transport.m_replies = { { 200, R"({"classes":[]})" } };
  CHECK_EQUAL(5, Run({ "classes", "show", "urgent" }));
}

TEST(CtlOutcomes, WaitsForTheIndexOfItsOwnChange)
{
  m_transport.m_replies = {
    { 200, R"({"code":"ok","revision":5,"index":70,"in_force":false})" },
    { 200, R"({"in_force":false,"in_force_index":69})" }
  };
  CHECK_EQUAL(4, Apply({ "--wait-in-force" }));
  STRCMP_CONTAINS("index=70", m_transport.m_calls.back().m_target.c_str());
  STRCMP_CONTAINS("in force is index 69", m_errors.str().c_str());
}

TEST(CtlOutcomes, DrainsOnlyTheVmThatWasNamed)
{
  m_transport.m_replies = { { 200, R"({"vm":"vm1"})" },
                            { 200, R"({"vm":"vm2"})" },
                            { 202, R"({"vm":"vm2","state":"draining"})" } };
  CHECK_EQUAL(0, Run({ "drain", "vm2" }));
  STRCMP_EQUAL("/v1/admin/drain", m_transport.m_calls.back().m_target.c_str());
  STRCMP_EQUAL("127.0.0.1:2", m_transport.m_servers.back().c_str());
}

TEST(CtlOutcomes, DrainsNothingWhenTheVmIsNotFound)
{
  m_transport.m_replies = { { 200, R"({"vm":"vm1"})" },
                            { 200, R"({"vm":"vm2"})" } };
  CHECK_EQUAL(5, Run({ "drain", "vm3" }));
  m_transport.m_replies = { { 200, R"({"vm":"vm1"})" }, kLostAnswer };
  CHECK_EQUAL(3, Run({ "drain", "vm3" }));
}

TEST(CtlOutcomes, MergesTheSpansOfAllVmsIntoOneTree)
{
  m_transport.m_replies = {
    { 200,
      R"({"spans":[{"span_id":"b","parent_id":"a","name":"step",
                    "vm":"vm1","start_unix_us":2}]})" },
    { 200,
      R"({"spans":[{"span_id":"a","parent_id":"","name":"chat",
                    "vm":"vm2","start_unix_us":1}]})" }
  };
  CHECK_EQUAL(0, Run({ "trace", "t" }));
  const std::string text = m_out.str();
  CHECK_TRUE(text.starts_with("chat"));
  STRCMP_CONTAINS("\n  step", text.c_str());
}
