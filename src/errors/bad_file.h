// Errors in a file that a person wrote: where, what was found, and what is allowed. Every reader of such
// files reports all errors at once.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "errors/errors.h"

namespace dewweir::errors {

struct FileProblem {
    std::string file;
    int line = 0;  // from 1; 0 if unknown
    std::string key, what;

    std::string text() const {
        std::string all = file;
        if (line > 0) all += ":" + std::to_string(line);
        all += ": ";
        if (!key.empty()) all += key + ": ";
        return all + what;
    }
};

struct BadFile : Of<Kind::bad_file> {
    explicit BadFile(std::vector<FileProblem> list)
        : Of("", list.empty() ? "nothing is wrong" : joined(list)), all(std::move(list)) {}
    std::vector<FileProblem> all;

  private:
    static std::string joined(const std::vector<FileProblem>& list) {
        std::string lines;
        for (const FileProblem& one : list) lines += (lines.empty() ? "" : "\n") + one.text();
        return lines;
    }
};

// `; did you mean X?` for the closest name in `known`; empty if none is close.
std::string did_you_mean(const std::string& name, const std::vector<std::string>& known);

}  // namespace dewweir::errors
