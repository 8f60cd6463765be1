#pragma once

#include <boost/outcome/result.hpp>

#include <string>

/// Errors that name the step and the peer at which they arose.
namespace tanagerlead::base
{

enum class error_code
{
    invalid_argument,
    not_found,
    conflict,
    /// Nothing was sent; trying elsewhere is safe.
    not_sent,
    /// Something may have been sent; whether it took effect is not known.
    unknown_effect,
    unavailable,
    permission_denied,
    rate_limited,
    corrupt,
    internal,
};

char const* to_string(error_code code);

struct error
{
    error_code code_ = error_code::internal;
    /// What was being done, for example "read head".
    std::string step_;
    /// Address or name of the other end; empty for a local step.
    std::string peer_;
    std::string detail_;

    /// One line for logs and operators.
    std::string str() const;
};

template <class T>
using result =
    boost::outcome_v2::basic_result<T, error,
                                    boost::outcome_v2::policy::all_narrow>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

/// Shorthand for `return fail(code, step, peer, detail)`.
inline auto fail(error_code code, std::string step, std::string peer,
                 std::string detail)
{
    return failure(
        error{code, std::move(step), std::move(peer), std::move(detail)});
}

} // namespace tanagerlead::base
