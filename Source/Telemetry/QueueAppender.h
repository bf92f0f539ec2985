// Passes the lines of the log library to a sink that does not block.
#pragma once

#include <log4cxx/appenderskeleton.h>

#include "Telemetry/LineSink.h"

namespace parsleycove {

class QueueAppender final : public log4cxx::AppenderSkeleton
{
public:
  QueueAppender(const log4cxx::LayoutPtr& aLayout, LineSink& aSink);

  void append(const log4cxx::spi::LoggingEventPtr& aEvent,
              log4cxx::helpers::Pool& aPool) override;
  void close() override {}
  bool requiresLayout() const override { return true; }

private:
  const log4cxx::LayoutPtr m_layout;
  LineSink& m_sink;
};

} // namespace parsleycove
