#include "src/config/config_store.hpp"

#include "src/base/log.hpp"
#include "src/config/digest.hpp"
#include "src/config/value_reader.hpp"

#include <boost/outcome/try.hpp>

#include <algorithm>

namespace tanagerlead::config
{

namespace
{

using external::commit_outcome;
using external::key_value_write;

constexpr std::size_t largest_value_bytes = std::size_t{900} << 10U;
/// Sent in one write; the service bounds requests by size and count.
constexpr std::size_t most_bytes_a_write = std::size_t{512} << 10U;
constexpr std::size_t most_keys_a_write = 64;

base::log const store_log{"config"};

std::uint64_t number(base::config_version version)
{
    return static_cast<std::uint64_t>(version);
}

base::config_version next(base::config_version version)
{
    return base::config_version{number(version) + 1};
}

/// Ordered as text in the order of versions.
std::string history_key(base::config_version version)
{
    constexpr std::size_t digits = 20;
    auto const text = std::to_string(number(version));
    return history_prefix + std::string(digits - text.size(), '0') + text;
}

/// Two operators who race write the same value under the same key or
/// different ones under different keys.
std::string section_key(base::config_version version, page const& from,
                        std::string const& sha256)
{
    return section_prefix + std::to_string(number(version)) + "/" +
           from.section_ + "/" + sha256;
}

std::string patch_digest(patch_request const& request)
{
    auto const kind =
        request.patch_.kind_ == patch_kind::json ? "json:" : "merge:";
    return sha256_hex(std::to_string(number(request.base_version_)) + kind +
                      request.patch_.text_);
}

section_reference const* find_reference(head const& in, page const& wanted,
                                        std::string const& sha256)
{
    for (auto const& each : in.sections_)
    {
        if (each.section_ == wanted.section_ && each.sha256_ == sha256)
        {
            return &each;
        }
    }
    return nullptr;
}

bool names_key(head const& in, std::string const& key)
{
    return std::any_of(in.sections_.begin(), in.sections_.end(),
                       [&](section_reference const& each)
                       { return each.key_ == key; });
}

page const* find_page(stored_configuration const& in,
                      section_reference const& wanted)
{
    for (std::size_t i = 0; i < in.head_.sections_.size(); ++i)
    {
        if (in.head_.sections_[i].key_ == wanted.key_)
        {
            return &in.pages_[i];
        }
    }
    return nullptr;
}

} // namespace

/// A version on its way into the store.
struct config_store::attempt
{
    head head_;
    std::int64_t base_revision_ = 0;
    std::vector<page> all_pages_;
    /// Pages that the base does not have.
    std::vector<key_value_write> pages_;
};

base::result<head> config_store::read_head()
{
    BOOST_OUTCOME_TRY(auto const entry, store_.get(head_key));
    if (entry.revision_ == 0)
    {
        return head{};
    }
    return decode_head(entry.value_);
}

base::result<stored_configuration>
config_store::read_current(stored_configuration const* known)
{
    BOOST_OUTCOME_TRY(auto const entry, store_.get(head_key));
    head present;
    if (entry.revision_ != 0)
    {
        BOOST_OUTCOME_TRY(present, decode_head(entry.value_));
    }
    return read_pages(std::move(present), entry.revision_, known);
}

base::result<stored_configuration>
config_store::read_version(base::config_version version)
{
    if (version == base::config_version{})
    {
        return read_pages(head{}, 0, nullptr);
    }
    BOOST_OUTCOME_TRY(auto const entry, store_.get(history_key(version)));
    if (entry.revision_ == 0)
    {
        return base::fail(base::error_code::not_found, "read version", {},
                          "version " + std::to_string(number(version)) +
                              " is not kept");
    }
    BOOST_OUTCOME_TRY(auto kept, decode_head(entry.value_));
    return read_pages(std::move(kept), 0, nullptr);
}

base::result<stored_configuration>
config_store::read_pages(head from, std::int64_t revision,
                         stored_configuration const* known)
{
    stored_configuration out;
    out.revision_ = revision;
    for (auto const& each : from.sections_)
    {
        if (known != nullptr)
        {
            if (auto const* had = find_page(*known, each))
            {
                out.pages_.push_back(*had);
                continue;
            }
        }
        BOOST_OUTCOME_TRY(auto entry, store_.get(each.key_));
        if (entry.revision_ == 0 || sha256_hex(entry.value_) != each.sha256_)
        {
            return base::fail(base::error_code::corrupt, "read section",
                              each.key_, "missing or altered");
        }
        out.pages_.push_back(
            {each.section_, each.page_, std::move(entry.value_)});
    }
    BOOST_OUTCOME_TRY(auto joined, join_pages(out.pages_, from.version_));
    out.configuration_ =
        std::make_shared<configuration const>(std::move(joined));
    out.head_ = std::move(from);
    return out;
}

base::result<std::vector<head>> config_store::history()
{
    BOOST_OUTCOME_TRY(auto const entries, store_.list(history_prefix));
    std::vector<head> heads;
    for (auto const& entry : entries)
    {
        BOOST_OUTCOME_TRY(auto kept, decode_head(entry.value_));
        heads.push_back(std::move(kept));
    }
    std::reverse(heads.begin(), heads.end());
    return heads;
}

base::result<submit_answer> config_store::submit(patch_request const& request)
{
    if (auto const why = why_not_id(request.patch_id_); !why.empty())
    {
        submit_answer refused;
        refused.errors_.push_back({"patch_id", why});
        return refused;
    }
    BOOST_OUTCOME_TRY(auto const current, read_current());
    if (current.head_.version_ != request.base_version_)
    {
        return explain_conflict(request, current);
    }
    auto patched = apply_patch(*current.configuration_, request.patch_,
                               next(request.base_version_));
    if (!patched.ok())
    {
        submit_answer refused;
        refused.version_ = current.head_.version_;
        refused.errors_ = std::move(patched.errors_);
        return refused;
    }
    return write(request, current, patched.configuration_);
}

base::result<std::optional<submit_answer>>
config_store::find_earlier(patch_request const& request, head const& current)
{
    std::optional<submit_answer> found;
    BOOST_OUTCOME_TRY(auto heads, history());
    heads.insert(heads.begin(), current);
    for (auto const& each : heads)
    {
        if (each.version_ > request.base_version_ &&
            each.patch_id_ == request.patch_id_)
        {
            found.emplace();
            found->version_ = each.version_;
            found->patch_id_reused_ =
                each.patch_sha256_ != patch_digest(request);
            found->status_ = found->patch_id_reused_ ? submit_status::conflict
                                                     : submit_status::accepted;
            break;
        }
    }
    return found;
}

base::result<submit_answer>
config_store::explain_conflict(patch_request const& request,
                               stored_configuration const& current)
{
    BOOST_OUTCOME_TRY(auto earlier, find_earlier(request, current.head_));
    if (earlier)
    {
        if (earlier->status_ == submit_status::accepted &&
            earlier->version_ == current.head_.version_)
        {
            earlier->accepted_ =
                std::make_shared<stored_configuration const>(current);
        }
        return std::move(*earlier);
    }
    submit_answer answer;
    answer.status_ = submit_status::conflict;
    answer.version_ = current.head_.version_;
    // Without the base the conflict still stands, only less is told of it.
    if (auto const base = read_version(request.base_version_))
    {
        answer.changes_ =
            list_changes(*base.value().configuration_, *current.configuration_);
    }
    return answer;
}

base::result<submit_answer>
config_store::write(patch_request const& request,
                    stored_configuration const& base,
                    configuration const& wanted)
{
    BOOST_OUTCOME_TRY(auto const from, plan(request, base, wanted));
    BOOST_OUTCOME_TRY(write_pages(from));
    BOOST_OUTCOME_TRY(auto const swapped, swap_head(from));
    if (swapped == commit_outcome::conflict)
    {
        discard_pages(from);
        return settle(request);
    }
    collect_garbage(wanted.version_);
    submit_answer accepted;
    accepted.status_ = submit_status::accepted;
    accepted.version_ = wanted.version_;
    accepted.accepted_ = std::make_shared<stored_configuration const>(
        stored_configuration{from.head_, 0, from.all_pages_,
                             std::make_shared<configuration const>(wanted)});
    return accepted;
}

base::result<config_store::attempt>
config_store::plan(patch_request const& request,
                   stored_configuration const& base,
                   configuration const& wanted)
{
    attempt from;
    from.base_revision_ = base.revision_;
    from.head_.version_ = wanted.version_;
    from.head_.patch_id_ = request.patch_id_;
    from.head_.patch_sha256_ = patch_digest(request);
    from.all_pages_ = split_into_pages(wanted, base.pages_);
    for (auto const& each : from.all_pages_)
    {
        auto const sha256 = sha256_hex(each.text_);
        if (each.text_.size() > largest_value_bytes)
        {
            return base::fail(base::error_code::invalid_argument,
                              "write section", each.section_,
                              "an entry is too large for the service");
        }
        auto const* kept = find_reference(base.head_, each, sha256);
        auto key = kept == nullptr ? section_key(wanted.version_, each, sha256)
                                   : kept->key_;
        from.head_.sections_.push_back(
            {each.section_, each.number_, key, sha256});
        if (kept == nullptr)
        {
            from.pages_.push_back({key, each.text_, std::nullopt});
        }
    }
    return from;
}

base::result<void> config_store::write_pages(attempt const& from)
{
    std::vector<key_value_write> group;
    std::size_t bytes = 0;
    auto const flush = [&]() -> base::result<void>
    {
        // The keys are this patch's own, so a repeat writes the same again.
        base::result<commit_outcome> written = commit_outcome::committed;
        for (int i = 0; i < settle_tries && !group.empty(); ++i)
        {
            written = store_.commit(group);
            if (written ||
                written.error().code_ != base::error_code::unknown_effect)
            {
                break;
            }
        }
        group.clear();
        bytes = 0;
        if (!written)
        {
            auto error = written.error();
            // No head names these pages, so nothing has taken effect.
            error.code_ = base::error_code::unavailable;
            error.step_ = "write sections";
            return base::failure(std::move(error));
        }
        return base::success();
    };
    for (auto const& each : from.pages_)
    {
        if (group.size() == most_keys_a_write ||
            (bytes > 0 && bytes + each.value_->size() > most_bytes_a_write))
        {
            BOOST_OUTCOME_TRY(flush());
        }
        bytes += each.value_->size();
        group.push_back(each);
    }
    return flush();
}

base::result<commit_outcome> config_store::swap_head(attempt const& from)
{
    auto const text = encode_head(from.head_);
    std::vector<key_value_write> const writes{
        {head_key, text, from.base_revision_},
        {history_key(from.head_.version_), text, std::nullopt}};
    // Repeating is safe: of all tries at most one finds the base revision.
    base::result<commit_outcome> outcome = commit_outcome::conflict;
    bool may_have_applied = false;
    for (int i = 0; i < settle_tries; ++i)
    {
        outcome = store_.commit(writes);
        if (outcome)
        {
            return outcome;
        }
        may_have_applied |=
            outcome.error().code_ == base::error_code::unknown_effect;
        if (!may_have_applied)
        {
            break;
        }
    }
    auto error = outcome.error();
    error.step_ = "swap head";
    if (may_have_applied)
    {
        error.code_ = base::error_code::unknown_effect;
        error.detail_ +=
            "; whether patch " + from.head_.patch_id_ +
            " took effect is not known: submit it again with the same id, or "
            "look for the id in the history";
    }
    return base::failure(std::move(error));
}

base::result<submit_answer> config_store::settle(patch_request const& request)
{
    auto current = read_current();
    if (!current)
    {
        auto error = current.error();
        // An earlier try of the swap may be what the last one met.
        error.code_ = base::error_code::unknown_effect;
        error.step_ = "settle patch " + request.patch_id_;
        error.detail_ += "; submit it again with the same id";
        return base::failure(std::move(error));
    }
    return explain_conflict(request, current.value());
}

void config_store::discard_pages(attempt const& from)
{
    // The version that won may have the same page under the same key. No other
    // version can, for it would have to follow that one.
    auto const winner = store_.get(history_key(from.head_.version_));
    if (!winner || winner.value().revision_ == 0)
    {
        return;
    }
    auto const won = decode_head(winner.value().value_);
    if (!won)
    {
        return;
    }
    std::vector<key_value_write> deletes;
    for (auto const& each : from.pages_)
    {
        if (!names_key(won.value(), each.key_))
        {
            deletes.push_back({each.key_, std::nullopt, std::nullopt});
        }
    }
    if (!deletes.empty() && !store_.commit(deletes))
    {
        store_log.warning("Pages of a refused patch could not be deleted.");
    }
}

void config_store::collect_garbage(base::config_version accepted)
{
    if (number(accepted) <= kept_versions)
    {
        return;
    }
    auto const oldest = base::config_version{number(accepted) - kept_versions};
    auto const gone = store_.get(history_key(oldest));
    auto const kept = store_.get(history_key(next(oldest)));
    if (!gone || !kept || gone.value().revision_ == 0)
    {
        return;
    }
    auto const old_head = decode_head(gone.value().value_);
    auto const new_head = decode_head(kept.value().value_);
    if (!old_head || !new_head)
    {
        store_log.warning("An old head cannot be read and is left in place.");
        return;
    }
    // A page that one version lacks is in no later one.
    std::vector<key_value_write> deletes{
        {history_key(oldest), std::nullopt, gone.value().revision_}};
    for (auto const& each : old_head.value().sections_)
    {
        if (!names_key(new_head.value(), each.key_))
        {
            deletes.push_back({each.key_, std::nullopt, std::nullopt});
        }
    }
    if (!store_.commit(deletes))
    {
        store_log.warning("Old versions could not be deleted.");
    }
}

} // namespace tanagerlead::config
