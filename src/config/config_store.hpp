#pragma once

#include "src/base/error.hpp"
#include "src/config/head.hpp"
#include "src/config/page.hpp"
#include "src/config/patch.hpp"
#include "src/external/key_value.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerlead::config
{

/// Keys of the key-value service.
constexpr char const* head_key = "tanagerlead/config/head";
constexpr char const* history_prefix = "tanagerlead/config/history/";
constexpr char const* section_prefix = "tanagerlead/config/section/";

/// Versions whose heads and sections are kept.
constexpr std::uint64_t kept_versions = 100;
/// Tries of a write whose effect is not known before that is told.
constexpr int settle_tries = 4;

struct patch_request
{
    base::config_version base_version_{};
    /// Chosen by the operator; a repeat with the same id is the same patch.
    std::string patch_id_;
    patch patch_;
};

enum class submit_status
{
    /// In the store as `version_`; a repeat of an accepted patch too.
    accepted,
    /// The base is not the current version.
    conflict,
    /// The patched document is wrong; see `errors_`.
    invalid,
};

/// A version as it lies in the store.
struct stored_configuration
{
    head head_;
    /// Of the head's key; what a later write must find.
    std::int64_t revision_ = 0;
    std::vector<page> pages_;
    snapshot configuration_;
};

struct submit_answer
{
    submit_status status_ = submit_status::invalid;
    /// The new version, or the current one of a conflict.
    base::config_version version_{};
    std::vector<field_error> errors_;
    /// Of a conflict: from the base to the current version; empty when the
    /// base is no longer kept.
    std::vector<field_change> changes_;
    /// Of a conflict: the same id was used for another patch.
    bool patch_id_reused_ = false;
    /// Of an accepted patch that is the current version: its content.
    std::shared_ptr<stored_configuration const> accepted_;
};

/// Numbered versions in the key-value service: immutable pages, then one
/// compare-and-swap of a small head. Blocking; any thread.
class config_store
{
public:
    explicit config_store(external::key_value_store& store) : store_{store} {}

    /// Version 0 when nothing was ever written.
    base::result<head> read_head();

    /// The current version. Pages that `known` has are not read again.
    base::result<stored_configuration>
    read_current(stored_configuration const* known = nullptr);

    /// `not_found` when that version is not kept.
    base::result<stored_configuration>
    read_version(base::config_version version);

    /// Heads that are kept, newest first.
    base::result<std::vector<head>> history();

    /// Errors: `unknown_effect` when the service did not tell in time whether
    /// the patch took effect; a repeat of the same request settles it.
    base::result<submit_answer> submit(patch_request const& request);

private:
    struct attempt;

    base::result<stored_configuration>
    read_pages(head from, std::int64_t revision,
               stored_configuration const* known);
    base::result<std::optional<submit_answer>>
    find_earlier(patch_request const& request, head const& current);
    base::result<submit_answer>
    explain_conflict(patch_request const& request,
                     stored_configuration const& current);
    base::result<submit_answer> write(patch_request const& request,
                                      stored_configuration const& base,
                                      configuration const& wanted);
    static base::result<attempt> plan(patch_request const& request,
                                      stored_configuration const& base,
                                      configuration const& wanted);
    base::result<void> write_pages(attempt const& from);
    base::result<external::commit_outcome> swap_head(attempt const& from);
    base::result<submit_answer> settle(patch_request const& request);
    void discard_pages(attempt const& from);
    void collect_garbage(base::config_version accepted);

    external::key_value_store& store_;
};

} // namespace tanagerlead::config
