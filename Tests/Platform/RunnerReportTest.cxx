// Tests decoding of the reports of runners.
#include <string>

#include "RunnerReport.h"

// Included last, since the leak detection of CppUTest redefines new.
#include <CppUTest/TestHarness.h>

using namespace parsleycove;
using platform::ReadRunnerReport;

namespace {

const std::string kReport =
  R"({"service":"s1","address":"10.1.0.9:8080","zone":"z","version":"v1",
"slots":192,"state":"ready","cold-remaining-ms":0,"stage":"both",
"models":[{"name":"m","version":1,"adapters":[]}],"kind":"l4",
"layers":{"from":20,"target":31,"version":1},"sequence":4,
"born":1779363788036})";

std::string
Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

std::string
ReadError(const std::string& aBody)
{
  std::string error;
  CHECK_FALSE(ReadRunnerReport("i-1", aBody, error).has_value());
  return error;
}

} // namespace

TEST_GROUP(RunnerReport){};

TEST(RunnerReport, IsReadIntoAnEndpoint)
{
  std::string error;
  const auto report = ReadRunnerReport("i-1", kReport, error);
  const state::EndpointT& endpoint = report->m_endpoint;
  STRCMP_EQUAL("i-1", endpoint.id.c_str());
  STRCMP_EQUAL("10.1.0.9", endpoint.address.c_str());
  CHECK_EQUAL(8080, endpoint.port);
  CHECK(endpoint.kind == state::EndpointKind::ManagedEngine);
  CHECK_EQUAL(20U, endpoint.first_layer);
  CHECK_EQUAL(11U, endpoint.layer_count);
  CHECK_EQUAL(1779363788036U, endpoint.incarnation);
  CHECK_EQUAL(4U, endpoint.report);
  CHECK_FALSE(report->m_isLeaving);
}

TEST(RunnerReport, LayersMayBeAListOrNothing)
{
  std::string error;
  const std::string range = R"({"from":20,"target":31,"version":1})";
  const auto list =
    ReadRunnerReport("i-1", Replace(kReport, range, "[" + range + "]"), error);
  CHECK_EQUAL(11U, list->m_endpoint.layer_count);
  for (const char* none : { "null", "[]", "{}" }) {
    const auto empty =
      ReadRunnerReport("i-1", Replace(kReport, range, none), error);
    CHECK_EQUAL(0U, empty->m_endpoint.layer_count);
  }
}

TEST(RunnerReport, WithoutModelsItIsAPlainService)
{
  std::string error;
  const auto report = ReadRunnerReport(
    "i-2",
    R"({"service":"s2","address":"10.1.0.9:80","zone":"z","slots":6,
"state":"draining","sequence":9})",
    error);
  CHECK(report->m_endpoint.kind == state::EndpointKind::PlainService);
  CHECK(report->m_isLeaving);
}

TEST(RunnerReport, NamesWhatIsWrong)
{
  STRCMP_EQUAL("heartbeat: syntax error, expected a complete JSON object",
               ReadError("\x01\x02").c_str());
  STRCMP_EQUAL("heartbeat: \"state\": expected ready or draining",
               ReadError(Replace(kReport, "\"ready\"", "\"odd\"")).c_str());
  STRCMP_EQUAL("heartbeat: \"address\": expected an IP number with a port",
               ReadError(Replace(kReport, "10.1.0.9:8080", "host:1")).c_str());
  STRCMP_EQUAL("heartbeat: \"slots\": expected a whole number of 0 or more",
               ReadError(Replace(kReport, "192", "\"many\"")).c_str());
  STRCMP_EQUAL("heartbeat: \"service\": expected a text",
               ReadError(Replace(kReport, "\"service\":\"s1\",", "")).c_str());
}

TEST(RunnerReport, ANumberOutOfRangeIsRefused)
{
  const std::string port =
    "heartbeat: \"address\": expected an IP number with a port";
  for (const char* address : { "10.1.0.9:65536",
                               "10.1.0.9:-1",
                               "10.1.0.9:0",
                               "10.1.0.9:99999999999999999999" }) {
    STRCMP_EQUAL(port.c_str(),
                 ReadError(Replace(kReport, "10.1.0.9:8080", address)).c_str());
  }
  // The low 32 bits are those of a sound range.
  STRCMP_EQUAL(
    "layers: \"target\" is 4294967327, expected 0 to 1024",
    ReadError(Replace(kReport, "\"target\":31", "\"target\":4294967327"))
      .c_str());
  STRCMP_EQUAL(
    "layers: \"target\" is 1025, expected 0 to 1024",
    ReadError(Replace(kReport, "\"target\":31", "\"target\":1025")).c_str());
  STRCMP_EQUAL("layers: \"from\" is 4294967316, expected 0 to 1024",
               ReadError(Replace(kReport,
                                 R"("from":20,"target":31)",
                                 R"("from":4294967316,"target":4294967327)"))
                 .c_str());
  for (const std::string slots :
       { "1000001", "4294967296", "18446744073709551615" }) {
    STRCMP_EQUAL(
      ("heartbeat: \"slots\" is " + slots + ", expected 0 to 1000000").c_str(),
      ReadError(Replace(kReport, "192", slots)).c_str());
  }
  STRCMP_EQUAL("heartbeat: \"born\": expected a whole number of 0 or more",
               ReadError(Replace(kReport, "1779363788036", "1e300")).c_str());
}

TEST(RunnerReport, ItsSizeIsBounded)
{
  const auto withField = [](const std::string& aValue) {
    return Replace(kReport, "{", "{\"later\":" + aValue + ",");
  };
  std::string list = "[";
  for (int i = 0; i < 5000; ++i) {
    list += "[],";
  }
  list += "0]";
  std::string error = ReadError(withField(list));
  CHECK_TEXT(error.ends_with(" values, expected at most 4096"), error.c_str());
  error = ReadError(withField("\"" + std::string(64UL * 1024, 'x') + "\""));
  CHECK_TEXT(error.ends_with(" bytes, expected at most 65536"), error.c_str());
  const auto report = ReadRunnerReport(
    "i-1", withField("\"" + std::string(60'000, 'x') + "\""), error);
  CHECK_TEXT(report.has_value(), error.c_str());
  STRCMP_EQUAL(
    "heartbeat: \"kind\": expected at most 64 characters",
    ReadError(Replace(kReport, "\"l4\"", "\"" + std::string(65, 'k') + "\""))
      .c_str());
}
