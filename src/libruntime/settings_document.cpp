#include "settings_document_pvt.h"

#include <absl/strings/str_cat.h>
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

namespace citroncrank {

namespace {

// Valid settings have two or three levels; the limit bounds the length of key paths in a malicious document.
constexpr std::size_t kMaxDepth = 16;

// Converts parser events to entries. Throws ParserException for YAML features that settings do not support.
class flattening_handler : public YAML::EventHandler
{
public:
    explicit flattening_handler(std::vector<document_entry> *entries)
        : m_entries(entries)
    {}

    void OnDocumentStart(const YAML::Mark & /*mark*/) override {}
    void OnDocumentEnd() override {}

    void OnNull(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        if (m_levels.empty() || m_ignoredDepth > 0)
            return; // An empty document has no keys, and the contents of ignored collections are skipped.
        if (expectsKey())
            throwParserError(mark, "a key is empty");
        if (inList())
            m_levels.back().kind = entry_kind::mixed_list;
        else
            finishValue(entry_kind::null);
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        throwParserError(mark, "aliases are not supported");
    }

    void OnScalar(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                  const std::string &value) override
    {
        if (m_levels.empty())
            throwParserError(mark, "the document is not a mapping of keys");
        if (m_ignoredDepth > 0)
            return;
        if (expectsKey()) {
            addKey(mark, value);
            return;
        }
        m_entries->at(m_levels.back().entry).values.push_back(value);
        if (!inList())
            finishValue(entry_kind::scalar);
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, entry_kind::list);
    }

    void OnSequenceEnd() override { close(); }

    void OnMapStart(const YAML::Mark &mark, const std::string & /*tag*/, YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override
    {
        open(mark, entry_kind::section);
    }

    void OnMapEnd() override { close(); }

private:
    struct level
    {
        entry_kind kind = entry_kind::section;
        std::string path;
        std::size_t entry = 0;  ///< Index of the last key of a section, or of the key whose value is the list.
        bool expectsKey = true; ///< Sections only.
    };

    [[noreturn]] static void throwParserError(const YAML::Mark &mark, const std::string &message)
    {
        throw YAML::ParserException(mark, message);
    }

    bool inList() const { return m_levels.back().kind != entry_kind::section; }
    bool expectsKey() const { return !inList() && m_levels.back().expectsKey; }

    void addKey(const YAML::Mark &mark, const std::string &name)
    {
        auto &current = m_levels.back();
        const std::string path = current.path.empty() ? name : absl::StrCat(current.path, ".", name);
        if (m_levels.size() > 1)
            m_entries->at(m_levels[m_levels.size() - 2].entry).hasChildren = true;
        current.entry = m_entries->size();
        current.expectsKey = false;
        m_entries->push_back({.path = path, .line = mark.line + 1});
    }

    void finishValue(entry_kind kind)
    {
        m_entries->at(m_levels.back().entry).kind = kind;
        m_levels.back().expectsKey = true;
    }

    void open(const YAML::Mark &mark, entry_kind kind)
    {
        if (m_ignoredDepth > 0 || (!m_levels.empty() && inList())) {
            m_levels.back().kind = entry_kind::mixed_list;
            ++m_ignoredDepth;
            return;
        }
        if (m_levels.empty()) {
            if (kind != entry_kind::section)
                throwParserError(mark, "the document is not a mapping of keys");
            m_levels.emplace_back();
            return;
        }
        if (expectsKey())
            throwParserError(mark, "a key is not a text");
        if (m_levels.size() >= kMaxDepth)
            throwParserError(mark, "sections are nested too deeply");
        const std::size_t parentEntry = m_levels.back().entry;
        m_levels.push_back({kind, m_entries->at(parentEntry).path, parentEntry, kind == entry_kind::section});
    }

    void close()
    {
        if (m_ignoredDepth > 0) {
            --m_ignoredDepth;
            return;
        }
        const entry_kind kind = m_levels.back().kind;
        m_levels.pop_back();
        if (!m_levels.empty())
            finishValue(kind);
    }

    std::vector<document_entry> *m_entries;
    std::vector<level> m_levels;
    std::size_t m_ignoredDepth = 0; ///< Depth of open collections inside a list. They are not supported and ignored.
};

} // namespace

flat_document flattenYaml(std::string_view text)
{
    flat_document document;
    flattening_handler handler(&document.entries);
    try {
        std::istringstream stream{std::string(text)};
        YAML::Parser parser(stream);
        parser.HandleNextDocument(handler);
        flat_document rest;
        flattening_handler second(&rest.entries);
        if (parser.HandleNextDocument(second))
            document.error = document_error{0, "the file holds more than one document"};
    } catch (const YAML::Exception &error) {
        document.error = document_error{error.mark.is_null() ? 0 : error.mark.line + 1, error.msg};
    }
    return document;
}

} // namespace citroncrank
