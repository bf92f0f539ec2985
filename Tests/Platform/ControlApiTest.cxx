// Tests the HTTP calls of operators and runners.
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "ConfigDocument.h"
#include "ControlApi.h"
#include "Support/FakeControl.h"
#include "Support/MemorySink.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

std::string
MakeConfig(int aVersion, const std::string& aMore = {})
{
  return "{\"version\":" + std::to_string(aVersion) +
         ",\"routes\":[],\"services\":[]" + aMore + "}";
}

std::string
MakeHeartbeat(const std::string& aState, int aSequence, int aBorn = 5)
{
  return R"({"service":"s1","address":"10.1.0.9:8080","zone":"z","slots":6,)"
         R"("state":")" +
         aState + R"(","sequence":)" + std::to_string(aSequence) +
         R"(,"born":)" + std::to_string(aBorn) + "}";
}

} // namespace

// clang-format off
TEST_GROUP(ControlApi)
{
  boost::asio::io_context m_context;
  FakeControl m_control;
  const platform::ConfigDocument m_codec{};
  MemorySink m_sink;
  DecisionLog m_log{ "vm-1", m_sink };
  platform::ControlApi m_api{ m_context, m_control, m_codec, m_log };

  HttpResponse Call(http::verb aVerb,
                    const std::string& aPath,
                    const std::string& aBody = {})
  {
    HttpRequest request(aVerb, aPath, 11);
    request.body() = aBody;
    std::optional<HttpResponse> answer;
    asio::co_spawn(
      m_context,
      m_api.Handle(request),
      [&](const std::exception_ptr&, HttpResponse aAnswer) {
        answer = std::move(aAnswer);
      });
    m_context.restart();
    m_context.run();
    return std::move(*answer);
  }
  unsigned PutConfig(const std::string& aBody)
  {
    return Call(http::verb::put, "/parsleycove/config", aBody).result_int();
  }
  unsigned SendHeartbeat(const std::string& aBody)
  {
    return Call(http::verb::put, "/parsleycove/instances/i-1", aBody)
      .result_int();
  }
  // Adds runner i-1 to the replicated state, as a heartbeat to another control
  // VM does.
  void Announce()
  {
    state::AnnounceEndpointT announce;
    announce.endpoint = std::make_unique<state::EndpointT>();
    announce.endpoint->id = "i-1";
    announce.endpoint->kind = state::EndpointKind::PlainService;
    announce.endpoint->service = "s1";
    announce.endpoint->address = "10.1.0.9";
    announce.endpoint->port = 8080;
    announce.endpoint->zone = "z";
    announce.endpoint->slots = 6;
    announce.endpoint->incarnation = 5;
    announce.endpoint->report = 1;
    state::CommandT command;
    command.body.Set(std::move(announce));
    CHECK(m_control.Apply(command).code == state::ResultCode::Ok);
  }
  const state::EndpointT* FindListed()
  {
    m_view = m_control.View();
    return m_view->FindEndpoint("i-1");
  }

  boost::intrusive_ptr<const ClusterView> m_view;
};
// clang-format on

TEST(ControlApi, TheHighestVersionIsKeptAndEveryAcceptedOneAcknowledged)
{
  CHECK_EQUAL(200U, PutConfig(MakeConfig(7)));
  CHECK_EQUAL(200U, PutConfig(MakeConfig(7)));
  CHECK_EQUAL(200U, PutConfig(MakeConfig(3)));
  const HttpResponse answer = Call(http::verb::get, "/parsleycove/config");
  CHECK_EQUAL(200U, answer.result_int());
  CHECK(answer.body() == MakeConfig(7));
}

TEST(ControlApi, OtherContentUnderAVersionThatIsHeldChangesNothing)
{
  PutConfig(MakeConfig(7));
  PutConfig(MakeConfig(7, ",\"tenants\":[]"));
  CHECK(Call(http::verb::get, "/parsleycove/config").body() == MakeConfig(7));
}

TEST(ControlApi, AnInvalidConfigurationIsRefusedWithItsFault)
{
  const HttpResponse answer =
    Call(http::verb::put, "/parsleycove/config", "{\"version\":1");
  CHECK_EQUAL(400U, answer.result_int());
  CHECK(answer.body().find("expected a complete JSON object") !=
        std::string::npos);
  CHECK_EQUAL(503U, Call(http::verb::get, "/parsleycove/config").result_int());
}

TEST(ControlApi, AnOutcomeThatIsNotKnownIsNoAcknowledgement)
{
  m_control.SetFate([](const auto&) { return ProposalFate::AnswerLost; });
  CHECK_EQUAL(503U, PutConfig(MakeConfig(7)));
  m_control.SetFate([](const auto&) { return ProposalFate::Applied; });
  CHECK_EQUAL(200U, PutConfig(MakeConfig(7)));
}

TEST(ControlApi, AHeartbeatRegistersARunnerAndADrainingOneLeaves)
{
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("ready", 1)));
  CHECK(FindListed()->phase == state::EndpointPhase::Ready);
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("ready", 2)));
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("draining", 3)));
  CHECK(FindListed()->phase == state::EndpointPhase::Leaving);
  // A late heartbeat does not make the runner ready again.
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("ready", 2)));
  CHECK(FindListed()->phase == state::EndpointPhase::Leaving);
}

TEST(ControlApi, ALateHeartbeatOfAnEarlierStartChangesNothing)
{
  SendHeartbeat(MakeHeartbeat("ready", 1, 9));
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("draining", 40, 5)));
  CHECK(FindListed()->phase == state::EndpointPhase::Ready);
  CHECK_EQUAL(9U, FindListed()->incarnation);
}

TEST(ControlApi, AHeartbeatClearsASuspicion)
{
  SendHeartbeat(MakeHeartbeat("ready", 1));
  state::SuspectEndpointT suspect;
  suspect.endpoint = std::make_unique<state::EndpointRefT>();
  suspect.endpoint->id = "i-1";
  suspect.endpoint->incarnation = 5;
  state::CommandT command;
  command.body.Set(std::move(suspect));
  m_control.Apply(command);
  CHECK(FindListed()->suspected);
  SendHeartbeat(MakeHeartbeat("ready", 2));
  CHECK_FALSE(FindListed()->suspected);
}

// A DELETE names no start, so one of an endpoint that is not listed leaves
// nothing to record.
TEST(ControlApi, ALeaveIsAcknowledgedOnlyOnceItIsRecorded)
{
  const std::string path = "/parsleycove/instances/i-1";
  CHECK_EQUAL(503U, Call(http::verb::delete_, path).result_int());
  SendHeartbeat(MakeHeartbeat("ready", 1));
  CHECK_EQUAL(200U, Call(http::verb::delete_, path).result_int());
  CHECK(FindListed()->phase == state::EndpointPhase::Leaving);
  CHECK_EQUAL(200U, Call(http::verb::delete_, path).result_int());
}

TEST(ControlApi, ALeaveOfAnEndpointThatIsNotListedOutlastsItsLateReports)
{
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("draining", 7, 5)));
  CHECK(FindListed()->phase == state::EndpointPhase::Leaving);
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("ready", 6, 5)));
  CHECK(FindListed()->phase == state::EndpointPhase::Leaving);
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("ready", 1, 6)));
  CHECK(FindListed()->phase == state::EndpointPhase::Ready);
}

TEST(ControlApi, ALeaveThatIsNotAcceptedIsNotAcknowledged)
{
  SendHeartbeat(MakeHeartbeat("ready", 1));
  m_control.SetFate([](const auto&) { return ProposalFate::NotAccepted; });
  CHECK_EQUAL(503U, SendHeartbeat(MakeHeartbeat("draining", 2)));
  CHECK_EQUAL(
    503U, Call(http::verb::delete_, "/parsleycove/instances/i-1").result_int());
  CHECK(FindListed()->phase == state::EndpointPhase::Ready);
}

// Guards against a leave that is acknowledged but not stored: all control VMs
// crashed, and a runner leaves while the first control VM that has restarted
// does not hold the state yet.
TEST(ControlApi, ALeaveIsNotAcknowledgedByACopyThatMayBeOld)
{
  m_control.SetConfirm([] { return false; });
  CHECK_EQUAL(503U, SendHeartbeat(MakeHeartbeat("draining", 2)));
  CHECK_EQUAL(
    503U, Call(http::verb::delete_, "/parsleycove/instances/i-1").result_int());
}

TEST(ControlApi, ALeaveIsLookedUpAgainOnceTheCopyIsConfirmed)
{
  m_control.SetConfirm([this] {
    Announce();
    return true;
  });
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("draining", 2)));
  CHECK(FindListed() != nullptr);
  CHECK(FindListed()->phase == state::EndpointPhase::Leaving);
}

TEST(ControlApi, ABrokenHeartbeatIsRefusedAndNothingElseIsLost)
{
  SendHeartbeat(MakeHeartbeat("ready", 1));
  CHECK_EQUAL(400U, SendHeartbeat("{\"service\":3"));
  CHECK(FindListed() != nullptr);
}

TEST(ControlApi, AnOddHeartbeatIsRefusedAndTheOtherRunnersStay)
{
  SendHeartbeat(MakeHeartbeat("ready", 1));
  const std::string deep = R"({"service":"s1","odd":)" +
                           std::string(100'000, '[') +
                           std::string(100'000, ']') + "}";
  const std::string begin =
    R"({"service":"s1","zone":"z","state":"ready","sequence":1,"address":)";
  for (const std::string& odd :
       { deep,
         std::string(100'000, '{'),
         begin + R"("10.1.0.9:65536","slots":6})",
         begin + R"("10.1.0.9:80","slots":1e999})",
         begin + R"("10.1.0.9:80","slots":4294967296})",
         begin + R"("10.1.0.9:80","slots":6,"models":[],"layers":)"
                 R"({"from":0,"target":4000000000}})" }) {
    CHECK_EQUAL(
      400U,
      Call(http::verb::put, "/parsleycove/instances/i-2", odd).result_int());
    CHECK_EQUAL(1U, m_control.View()->Image().endpoints.size());
  }
  CHECK_EQUAL(200U, SendHeartbeat(MakeHeartbeat("ready", 2)));
}

TEST(ControlApi, AHeartbeatThatCannotBeStoredIsNotAcknowledged)
{
  m_control.SetFate([](const auto&) { return ProposalFate::NotAccepted; });
  CHECK_EQUAL(503U, SendHeartbeat(MakeHeartbeat("ready", 1)));
}

TEST(ControlApi, UnknownCallsAreToldSo)
{
  CHECK_EQUAL(404U, Call(http::verb::get, "/other").result_int());
}
