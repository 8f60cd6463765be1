#include "src/external/etcd_store.hpp"

#include "src/external/etcd_codec.hpp"
#include "src/external/etcd_watch.hpp"

#include <boost/outcome/try.hpp>

namespace tanagerlead::external
{

namespace
{

enum class effect
{
    read,
    write,
};

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_unauthorized = 401;
constexpr int status_forbidden = 403;
constexpr int status_too_many_requests = 429;
constexpr int status_server_error = 500;

base::error_code classify_status(int status, effect kind)
{
    switch (status)
    {
    case status_too_many_requests:
        return base::error_code::rate_limited;
    case status_bad_request:
        return base::error_code::invalid_argument;
    case status_unauthorized:
    case status_forbidden:
        return base::error_code::permission_denied;
    default:
        break;
    }
    // etcd answers 503 also for a proposal that timed out and may yet apply.
    if (status >= status_server_error && kind == effect::write)
    {
        return base::error_code::unknown_effect;
    }
    return base::error_code::unavailable;
}

bool worth_another_endpoint(base::error_code code)
{
    return code == base::error_code::not_sent ||
           code == base::error_code::unavailable;
}

} // namespace

/// One exchange with whichever endpoint answers.
struct etcd_store::call
{
    char const* step_;
    char const* path_;
    std::string body_;
    effect effect_;

    base::result<std::string> send(base::address const& endpoint,
                                   http_timeouts const& timeouts) const
    {
        auto answer = post_json(endpoint, path_, body_, timeouts);
        if (!answer)
        {
            auto error = answer.error();
            error.step_ = step_;
            if (effect_ == effect::read)
            {
                error.code_ = base::error_code::unavailable;
            }
            return base::failure(std::move(error));
        }
        if (answer.value().status_ != status_ok)
        {
            auto const status = answer.value().status_;
            return base::fail(classify_status(status, effect_), step_,
                              endpoint.str(),
                              "status " + std::to_string(status));
        }
        return std::move(answer.value().body_);
    }
};

etcd_store::etcd_store(etcd_settings settings) : settings_{std::move(settings)}
{
}

base::result<std::string> etcd_store::exchange(call const& request)
{
    auto const count = settings_.endpoints_.size();
    base::result<std::string> outcome =
        base::fail(base::error_code::not_sent, request.step_, {},
                   "no key-value service in the settings");
    auto const first = preferred_.load();
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const index = (first + i) % count;
        outcome =
            request.send(settings_.endpoints_[index], settings_.timeouts_);
        if (outcome || !worth_another_endpoint(outcome.error().code_))
        {
            preferred_ = index;
            return outcome;
        }
    }
    return outcome;
}

base::result<std::vector<key_value_entry>>
etcd_store::range(std::string const& key, std::string const& end)
{
    BOOST_OUTCOME_TRY(auto const body,
                      exchange({"read key-value service", "/v3/kv/range",
                                etcd::encode_range(key, end), effect::read}));
    return etcd::decode_range(body);
}

base::result<key_value_entry> etcd_store::get(std::string const& key)
{
    BOOST_OUTCOME_TRY(auto entries, range(key, {}));
    if (entries.empty())
    {
        return key_value_entry{key, {}, 0};
    }
    return std::move(entries.front());
}

base::result<std::vector<key_value_entry>>
etcd_store::list(std::string const& prefix)
{
    // The gateway refuses an empty key; no key is less than a zero byte.
    auto const first = prefix.empty() ? std::string(1, '\0') : prefix;
    return range(first, etcd::end_of_prefix(prefix));
}

base::result<commit_outcome>
etcd_store::commit(std::vector<key_value_write> const& writes)
{
    BOOST_OUTCOME_TRY(auto const body,
                      exchange({"write key-value service", "/v3/kv/txn",
                                etcd::encode_commit(writes), effect::write}));
    auto decoded = etcd::decode_commit(body);
    if (!decoded)
    {
        // The service answered something, so it may have applied the write.
        auto error = decoded.error();
        error.code_ = base::error_code::unknown_effect;
        return base::failure(std::move(error));
    }
    return decoded;
}

std::unique_ptr<key_value_watch>
etcd_store::watch(std::string const& key,
                  std::function<void(key_value_entry const&)> changed)
{
    if (settings_.endpoints_.empty())
    {
        return nullptr;
    }
    return std::make_unique<etcd::stream_watch>(settings_, key,
                                                std::move(changed));
}

} // namespace tanagerlead::external
