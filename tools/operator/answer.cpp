#include "tools/operator/answer.hpp"

#include "src/config/field_error.hpp"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <ostream>

namespace tanagerlead::operator_tool
{

namespace
{
constexpr int indent = 2;
} // namespace

using nlohmann::json;

base::result<json> read_json(operator_answer const& answer)
{
    if (answer.status_ != status_ok)
    {
        return base::failure(read_error(answer));
    }
    auto body = json::parse(answer.body_, nullptr, false);
    if (!body.is_object())
    {
        return base::fail(base::error_code::corrupt, "read answer", {},
                          "not JSON");
    }
    return body;
}

base::result<json> get(context const& from, std::string const& path)
{
    BOOST_OUTCOME_TRY(auto const answer, from.client_.get(path));
    return read_json(answer);
}

exit_code usage(context const& from, char const* text)
{
    from.errors_ << "usage: tanagerlead " << text << "\n";
    return exit_code::usage;
}

void print_json(context const& from, json const& body)
{
    from.out_ << body.dump(indent) << "\n";
}

void print_errors(std::ostream& out, json const& body)
{
    for (auto const& error : body.value("errors", json::array()))
    {
        config::field_error const wrong{error.value("pointer", std::string{}),
                                        error.value("message", std::string{})};
        out << wrong.str() << "\n";
    }
}

} // namespace tanagerlead::operator_tool
