// A configuration adds a route whose host has capital letters; requests name
// that host letter by letter.
#include "Fleet.h"

using namespace review;

namespace {

constexpr int kConfigApplyMs = 2000; // `config-apply-ms`
constexpr int kRequests = 60;

std::string
MakeRoute(const std::string& aName, const std::string& aHost)
{
  return R"({"name":")" + aName + R"(","host":")" + aHost +
         R"(","path-prefix":"/app/","kind":"safe","timeout-ms":1000,)"
         R"("target-latency-ms":100,"priority":2,"service":"app",)"
         R"("max-attempts":2,"allow-anonymous":true,)"
         R"("session-affinity":false,"resumable":false})";
}

std::string
MakeConfig(int aVersion, const std::string& aRoutes)
{
  return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" +
         aRoutes +
         R"(],"services":[{"name":"app","health-path":"/health",)"
         R"("max-connections":100,"protocol":"h1","tls":false}],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

} // namespace

int
main(int, char** argv)
{
  Record::Get().Open(std::string(argv[1]) + "/record.txt");
  Fleet fleet({ { "zone-a", "zone-b", "zone-c" }, { 0, 1, 2 }, 2 });
  fleet.Start();
  Runner runner(
    fleet.ListControls(), "app-1", "app", [](const Message& aRequest, int) {
      Sleep(15);
      return Runner::MakeAnswer(aRequest, std::string(800, 'a'));
    });
  const std::string first = MakeRoute("r1", "app.example");
  if (!fleet.PutConfig(MakeConfig(1, first), 1) ||
      !fleet.WaitUntilReady(20000)) {
    SAY("the deployment did not start");
    return 2;
  }
  while (!runner.IsRegistered()) {
    Sleep(50);
  }
  Sleep(1500);
  const std::string host =
    HasTrouble() ? "Booking.App.example" : "booking.app.example";
  if (!fleet.PutConfig(MakeConfig(2, first + "," + MakeRoute("r2", host)),
                       2)) {
    SAY("version 2 was not acknowledged");
    return 2;
  }
  Sleep(kConfigApplyMs + 1000);
  std::array<std::map<int, int>, 2> statuses;
  for (int i = 0; i < 2 * kRequests; ++i) {
    const bool isNew = i % 2 == 1;
    const Message answer =
      Call(fleet.Front(static_cast<std::size_t>(i / 2) % 2),
           MakeRequest("GET",
                       "/app/status",
                       isNew ? host : "app.example",
                       "Attempt-Id: h" + std::to_string(i) +
                         "\r\nDeadline-Ms: 1000\r\n",
                       ""),
           1500);
    ++statuses[isNew ? 1 : 0][answer.Status()];
    Sleep(20);
  }
  for (int route = 0; route < 2; ++route) {
    for (const auto& [status, count] : statuses[route]) {
      SAY("host %s: status %d, %d times",
          route == 1 ? host.c_str() : "app.example",
          status,
          count);
    }
  }
  const bool isBroken = statuses[1][404] > 10;
  SAY("%s", isBroken ? "broken" : "held");
  return isBroken ? 1 : 0;
}
