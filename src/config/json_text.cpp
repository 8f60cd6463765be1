#include "src/config/json_text.hpp"

#include <nlohmann/json.hpp>

#include <set>

namespace tanagerlead::config
{

namespace
{

using nlohmann::json;

/// Follows the parser through the text and knows where it is.
class duplicate_finder
{
public:
    explicit duplicate_finder(std::vector<field_error>& errors)
        : errors_{errors}
    {
    }

    void take(json::parse_event_t event, json const& parsed)
    {
        switch (event)
        {
        case json::parse_event_t::object_start:
        case json::parse_event_t::array_start:
            open(event == json::parse_event_t::array_start);
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            levels_.pop_back();
            break;
        case json::parse_event_t::key:
            enter_key(parsed.get<std::string>());
            break;
        case json::parse_event_t::value:
            count_element();
            break;
        }
    }

private:
    struct level
    {
        bool is_array_ = false;
        std::size_t elements_ = 0;
        std::set<std::string> keys_;
        std::string pointer_;
        std::string child_;
    };

    void open(bool is_array)
    {
        count_element();
        level inner;
        inner.is_array_ = is_array;
        inner.pointer_ = levels_.empty() ? "" : levels_.back().child_;
        levels_.push_back(std::move(inner));
    }

    void count_element()
    {
        if (levels_.empty() || !levels_.back().is_array_)
        {
            return;
        }
        auto& outer = levels_.back();
        outer.child_ =
            child_pointer(outer.pointer_, std::to_string(outer.elements_));
        ++outer.elements_;
    }

    void enter_key(std::string const& key)
    {
        auto& object = levels_.back();
        object.child_ = child_pointer(object.pointer_, key);
        if (!object.keys_.insert(key).second)
        {
            errors_.push_back({object.child_, "stands twice"});
        }
    }

    std::vector<field_error>& errors_;
    std::vector<level> levels_;
};

} // namespace

json parse_json(std::string_view text, std::vector<field_error>& errors)
{
    duplicate_finder finder{errors};
    auto const follow =
        [&](int /*depth*/, json::parse_event_t event, json& parsed)
    {
        finder.take(event, parsed);
        return true;
    };
    try
    {
        return json::parse(text, follow);
    }
    catch (json::exception const& problem)
    {
        errors.push_back({"", problem.what()});
        return nullptr;
    }
}

} // namespace tanagerlead::config
