// Fuzzes the parsers of settings files and of configuration documents. Neither may crash or hang. Each must return
// either a result or at least one fault, so that no faulty file is accepted.

#include "citroncrank/config_document.h"
#include "citroncrank/settings.h"

#include <cstdlib>

namespace {

using namespace citroncrank;

settings_table table()
{
    return {{.path = "name", .type = settings_type::text, .required = true, .minimum = 1, .maximum = 8},
            {.path = "listen.address", .type = settings_type::address, .required = true},
            {.path = "listen.limit", .type = settings_type::integer, .defaultValue = "3", .minimum = 1, .maximum = 9},
            {.path = "wait", .type = settings_type::duration, .defaultValue = "3s"},
            {.path = "key", .type = settings_type::secret},
            {.path = "seeds", .type = settings_type::address, .isList = true}};
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const settings_table kTable = table();
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    std::vector<settings_fault> faults;
    const auto values = parseSettings(text, "fuzz.yaml", kTable, &faults);
    if (values.has_value() != faults.empty())
        std::abort();
    const auto document = parseConfigDocument(text, "fuzz.yaml");
    if (document.revision.has_value() != document.faults.empty())
        std::abort();
    // An accepted document must parse to the same revision from its canonical form, in which other nodes receive it.
    if (document.revision) {
        const auto reparsed = parseConfigDocument(formatConfigDocument(*document.revision), "again.yaml");
        if (!reparsed.revision || *reparsed.revision != *document.revision)
            std::abort();
    }
    return 0;
}
