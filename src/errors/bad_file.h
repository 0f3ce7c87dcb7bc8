// What is wrong with a file that a person wrote, said so that it can be mended: where, what was found, what
// is allowed. Every reader of such files lists all it finds before it gives up.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "errors/errors.h"

namespace dewweir::errors {

struct FileProblem {
    std::string file;
    int line = 0;  // from 1; 0: none can be named
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

// The one of `known` that `name` was most likely meant to be, as `; did you mean X?`; empty where none is
// near.
std::string did_you_mean(const std::string& name, const std::vector<std::string>& known);

}  // namespace dewweir::errors
