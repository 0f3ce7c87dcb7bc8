// Plays a corpus through a fuzz target without libFuzzer: every file of the folder named as the argument, by
// name.
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "fuzz/fuzz.h"

namespace {

std::vector<std::filesystem::path> files_in(const std::filesystem::path& folder) {
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    return files;
}

std::string content_of(const std::filesystem::path& path) {
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: replay FOLDER\n";
        return 2;
    }
    const std::vector<std::filesystem::path> files = files_in(argv[1]);
    for (const std::filesystem::path& path : files) {
        std::cout << path.filename().string() << std::endl;  // before, so that a crash shows its input
        const std::string content = content_of(path);
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(content.data()), content.size());
    }
    return files.empty() ? 1 : 0;
}
