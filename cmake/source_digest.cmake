# Compiles every source with a digest of all of them, in TANAGERLEAD_SOURCES. So
# a build in a folder that was used before compiles again whatever differs, also
# where the times of the files say nothing: sources that were copied with their
# times may be older than the objects of other sources.
#
# The arguments are patterns of files, as of file(GLOB_RECURSE).
function(tanagerlead_add_source_digest)
    file(GLOB_RECURSE files RELATIVE ${CMAKE_CURRENT_SOURCE_DIR} ${ARGN})
    list(SORT files)
    set(contents "")
    foreach(file ${files})
        file(SHA256 ${CMAKE_CURRENT_SOURCE_DIR}/${file} digest)
        string(APPEND contents "${file} ${digest}\n")
    endforeach()
    string(SHA256 digest "${contents}")
    string(SUBSTRING ${digest} 0 12 digest)
    add_compile_definitions(TANAGERLEAD_SOURCES="${digest}")
endfunction()
