#pragma once

/// A document that is right in every field.
constexpr char const* sample_document = R"({
  "tiers": {"gold": {"tier": 0, "longest_wait_ms": 30000},
            "bronze": {"tier": 2, "longest_wait_ms": 5000}},
  "workspaces": {"brest": {"tier": 0, "pools": ["report"],
      "key_hashes":
  ["aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"]},
                 "thies": {"tier": 2, "pools": ["report", "portal"],
                           "weight": 2.5, "most_waiting": 50}},
  "pools": {"report": {"kind": "model"}, "portal": {"kind": "service"}},
  "targets": {"r1": {"pools": ["report"], "address": "127.0.0.1:9001",
                     "data_centre": "brest", "slots": 8},
              "p1": {"pools": ["portal"], "address": "127.0.0.1:9002",
                     "data_centre": "quimper"}},
  "groups": {"brittany": {"data_centres": ["brest", "quimper"]}}
})";
