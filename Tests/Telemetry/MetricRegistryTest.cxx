// Tests of the metrics page.
#include "Telemetry/MetricRegistry.h"

#include <CppUTest/TestHarness.h>

using namespace parsleycove;

TEST_GROUP(MetricRegistry){};

TEST(MetricRegistry, SameNameAndLabelsAreOneMetric)
{
  MetricRegistry registry;
  ++registry.AddCounter("calls_total", "code=\"ok\"");
  ++registry.AddCounter("calls_total", "code=\"ok\"");
  registry.AddGauge("active", "", [] { return 3.0; });
  STRCMP_EQUAL("# TYPE calls_total counter\n"
               "calls_total{code=\"ok\"} 2\n"
               "# TYPE active gauge\n"
               "active 3.000000\n",
               registry.Print().c_str());
}

TEST(MetricRegistry, HistogramCountsEveryDurationOnce)
{
  MetricRegistry registry;
  LatencyHistogram& latency = registry.AddHistogram("seconds", "");
  latency.Record(std::chrono::microseconds(1)); // below the first bin
  latency.Record(std::chrono::milliseconds(10));
  latency.Record(std::chrono::seconds(1000)); // above the last bin
  const std::string page = registry.Print();
  CHECK(page.find("seconds_count 3\n") != std::string::npos);
  CHECK(page.find("le=\"+Inf\"} 3\n") != std::string::npos);
  CHECK(page.find("le=\"0.000178\"} 1\n") != std::string::npos);
}
