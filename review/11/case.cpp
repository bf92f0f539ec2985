// A core machine is gone for good and its successor comes in another zone;
// later two machines lose their disks at once.
#include "Fleet.h"

using namespace review;

namespace {

constexpr int kCatchUpMs = 4000;   // `catch-up-s`
constexpr int kRecoveryMs = 12000; // `recovery-s`

std::string
MakeConfig(int aVersion)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r1","host":"app.example",)"
         R"("path-prefix":"/app/","kind":"safe","timeout-ms":1000,)"
         R"("target-latency-ms":100,"priority":2,"service":"app",)"
         R"("max-attempts":2,"allow-anonymous":false,)"
         R"("session-affinity":false,"resumable":false}],)"
         R"("services":[{"name":"app","health-path":"/health",)"
         R"("max-connections":100,"protocol":"h1","tls":false}],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000},)"
         R"("tenants":[{"name":"t1","api-keys":["key-1"],"priority":1}]})";
}

// Counts the requests of a second that are served.
int
CountServed(const Fleet& aFleet)
{
  int served = 0;
  for (int i = 0; i < 10; ++i) {
    const Message answer =
      Call(aFleet.Front(0),
           MakeRequest("GET",
                       "/app/status",
                       "app.example",
                       "Attempt-Id: s" + std::to_string(rand()) +
                         "\r\nDeadline-Ms: 1000\r\n"
                         "Authorization: Bearer key-1\r\n",
                       ""),
           1500);
    served += answer.Status() == 200 ? 1 : 0;
    Sleep(50);
  }
  return served;
}

// Returns the version that some node answers with, or 0.
int
ReadVersion(const Fleet& aFleet)
{
  for (std::size_t i = 0; i < aFleet.Controls(); ++i) {
    const Message answer =
      Call(aFleet.Control(i),
           MakeRequest("GET", "/parsleycove/config", "control", "", ""),
           1500);
    const auto place = answer.m_body.find("\"version\":");
    if (answer.Status() == 200 && place != std::string::npos) {
      return std::atoi(answer.m_body.c_str() + place + 10);
    }
  }
  return 0;
}

// A core machine is gone for good, and another one comes a second later.
void
Replace(Fleet& aFleet, std::size_t aOld, const std::string& aZone)
{
  aFleet.ControlProcess(aOld).Kill();
  SAY("control-%zu is gone for good", aOld + 1);
  Sleep(1000);
  const std::size_t added = aFleet.AddControl(aZone, false);
  SAY("control-%zu comes in %s", added + 1, aZone.c_str());
  aFleet.ControlProcess(added).Start();
}

} // namespace

int
main(int, char** argv)
{
  Record::Get().Open(std::string(argv[1]) + "/record.txt");
  const char* zone = std::getenv("NEW_ZONE");
  // As in the sheet: two, two and one. The seeds are any three of them.
  Fleet fleet({ { "zone-a", "zone-a", "zone-b", "zone-b", "zone-c" },
                { 2, 3, 4 },
                1,
                2 });
  fleet.Start();
  Runner runner(fleet.ListControls(), "app-1", "app", [](const Message& aRequest, int) {
    Sleep(15);
    return Runner::MakeAnswer(aRequest, std::string(800, 'a'));
  });
  if (!fleet.PutConfig(MakeConfig(1), 1) || !fleet.WaitUntilReady(20000)) {
    SAY("the deployment did not start");
    return 2;
  }
  while (!runner.IsRegistered()) {
    Sleep(50);
  }
  Sleep(3000);
  SAY("served before: %d of 10", CountServed(fleet));
  if (HasTrouble()) {
    Replace(fleet, 2, "zone-b");
    Sleep(2 * kCatchUpMs);
    Replace(fleet, 4, zone != nullptr ? zone : "zone-a");
  }
  // Far longer than the successor needs to count.
  Sleep(5 * kCatchUpMs);
  if (!fleet.PutConfig(MakeConfig(2), 2)) {
    SAY("version 2 was not acknowledged");
    return 2;
  }
  SAY("served with the successor: %d of 10", CountServed(fleet));
  Sleep(1000);
  if (HasTrouble()) {
    SAY("control-4 and control-6 lose power and their disks at once");
    for (const std::size_t lost : { 3, 5 }) {
      fleet.ControlProcess(lost).Signal(SIGKILL);
    }
    Sleep(1500);
    for (const std::size_t lost : { 3, 5 }) {
      fleet.ControlProcess(lost).WaitForEnd(1000);
      fleet.EmptyDisk(lost);
      fleet.ControlProcess(lost).Start();
    }
  }
  Sleep(2 * kRecoveryMs);
  int version = 0;
  for (int i = 0; i < 3 && version == 0; ++i) {
    version = ReadVersion(fleet);
    Sleep(300);
  }
  const int served = CountServed(fleet);
  SAY("%d s after the machines are back: version read is %d, acknowledged was "
      "2; served %d of 10",
      2 * kRecoveryMs / 1000,
      version,
      served);
  const bool isBroken = version != 2;
  SAY("%s", isBroken ? "broken" : "held");
  return isBroken ? 1 : 0;
}
