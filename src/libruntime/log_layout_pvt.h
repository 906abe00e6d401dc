#pragma once

#include "citroncrank/log.h"

#include <log4cxx/layout.h>

namespace citroncrank {

/// Formats log entries as one line of text or JSON each. The logger's name is the component.
class line_layout : public log4cxx::Layout
{
public:
    explicit line_layout(log_format format)
        : m_format(format)
    {}

    void format(log4cxx::LogString &output, const log4cxx::spi::LoggingEventPtr &event,
                log4cxx::helpers::Pool &pool) const override;
    bool ignoresThrowable() const override { return true; }
    void activateOptions(log4cxx::helpers::Pool &pool) override {}
    void setOption(const log4cxx::LogString &option, const log4cxx::LogString &value) override {}

private:
    log_format m_format;
};

} // namespace citroncrank
