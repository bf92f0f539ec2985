// Tests of the story of one request from several logs.
#include "Ctl/CommandTable.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "Ctl/Transport.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

namespace {

// Nothing may be sent.
class NoTransport final : public Transport
{
public:
  std::optional<AdminAnswer> Send(const SocketAddress& /*aServer*/,
                                  const AdminCall& /*aCall*/,
                                  TransportReason& aReason) override
  {
    aReason.Set(TransportError::NotSent, "nothing may be sent");
    return std::nullopt;
  }
};

const char kFront[] =
  "{\"unix_ms\":1000,\"vm\":\"f1\",\"event\":\"stream_resumed\",\"id\":\"a1\","
  "\"from\":\"e1\",\"why\":\"stage_lost\"}\n"
  "{\"unix_ms\":1200,\"vm\":\"f1\",\"event\":\"request_cut\",\"id\":\"a1\"}\n"
  "{ \"timestamp\": \"x\", \"message\": \"another log\" }\n"
  "{\"unix_ms\":1100,\"vm\":\"f1\",\"event\":\"request_answered\","
  "\"id\":\"a2\"}\n"
  "not a line\n";
const char kOther[] =
  "{\"unix_ms\":900,\"vm\":\"f2\",\"event\":\"endpoint_suspected\","
  "\"endpoint\":\"e1\"}\n"
  "{\"unix_ms\":901,\"vm\":\"f2\",\"event\":\"endpoint_suspected\","
  "\"endpoint\":\"e9\"}\n";

} // namespace

// clang-format off
TEST_GROUP(Story)
{
  std::filesystem::path m_folder;
  std::ostringstream m_out;
  std::ostringstream m_errors;

  void setup() override
  {
    std::string pattern =
      std::filesystem::temp_directory_path() / "parsleycove-story-XXXXXX";
    m_folder = mkdtemp(pattern.data());
    std::ofstream(m_folder / "one") << kFront;
    std::ofstream(m_folder / "two") << kOther;
  }
  void teardown() override { std::filesystem::remove_all(m_folder); }

  ExitCode Run(const std::string& aId, const std::string& aFiles)
  {
    Invocation invocation;
    invocation.m_words = { "story", aId, aFiles };
    NoTransport transport;
    return CommandTable().Run(invocation, transport, m_out, m_errors);
  }
  std::string BothFiles() const
  {
    return (m_folder / "one").string() + "," + (m_folder / "two").string();
  }
};
// clang-format on

TEST(Story, TellsARequestAndWhatBecameOfItsEndpoints)
{
  CHECK(Run("a1", BothFiles()) == ExitCode::Ok);
  STRCMP_EQUAL("0 ms  f2  endpoint_suspected  endpoint=\"e1\"\n"
               "100 ms  f1  stream_resumed  from=\"e1\"  why=\"stage_lost\"\n"
               "300 ms  f1  request_cut\n",
               m_out.str().c_str());
}

TEST(Story, SaysWhenNothingIsKnown)
{
  CHECK(Run("a7", BothFiles()) == ExitCode::NotFound);
  CHECK(m_errors.str().find("no line of request a7") != std::string::npos);
}

TEST(Story, NamesAFileThatCannotBeRead)
{
  CHECK(Run("a1", "/no/such/file") == ExitCode::Usage);
  CHECK(m_errors.str().find("cannot read /no/such/file") != std::string::npos);
}
