#include "citroncrank/standin_upstream.h"

#include <boost/json.hpp>

namespace citroncrank {

namespace json = boost::json;

run_journal::run_journal(const std::string &file)
{
    if (file.empty())
        return;
    m_file.open(file, std::ios::app);
    if (!m_file)
        throw std::runtime_error("cannot open the journal " + file);
}

std::uint64_t run_journal::record(const std::string &id, const std::string &method, const std::string &path)
{
    ++m_total;
    const std::uint64_t run = id.empty() ? 0 : ++m_runs[id];
    if (m_file.is_open()) {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        m_file << std::chrono::duration_cast<std::chrono::milliseconds>(now).count() << ' ' << (id.empty() ? "-" : id)
               << ' ' << run << ' ' << method << ' ' << path << std::endl;
    }
    return run;
}

std::string run_journal::asJson(bool onlyRepeated) const
{
    json::object runs;
    for (const auto &[id, count] : m_runs) {
        if (count > 1 || !onlyRepeated)
            runs[id] = count;
    }
    return json::serialize(json::object{{"total", m_total}, {"runs", std::move(runs)}});
}

} // namespace citroncrank
