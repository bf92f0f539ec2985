// Passes the lines of the log library to a sink that does not block.
#include "Telemetry/QueueAppender.h"

#include <string>

#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/layout.h>

namespace parsleycove {

QueueAppender::QueueAppender(const log4cxx::LayoutPtr& aLayout, LineSink& aSink)
  : m_layout(aLayout)
  , m_sink(aSink)
{
}

void
QueueAppender::append(const log4cxx::spi::LoggingEventPtr& aEvent,
                      log4cxx::helpers::Pool& aPool)
{
  log4cxx::LogString text;
  m_layout->format(text, aEvent, aPool);
  std::string line;
  log4cxx::helpers::Transcoder::encode(text, line);
  while (line.ends_with('\n') || line.ends_with('\r')) {
    line.pop_back();
  }
  m_sink.Write(line);
}

} // namespace parsleycove
