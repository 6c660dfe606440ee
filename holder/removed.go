package holder

import (
	"github.com/hornbeamworks/hornbeam/jobs"
	"github.com/hornbeamworks/hornbeam/storage"
)

// removedJobs contains the IDs of removed jobs whose rows the jobs feed may still show:
// until the row has been deleted, and the feed has passed the deletion. A read of all
// rows shows each row that exists, however long ago its job has ended. Only the deciding
// duty uses it.
type removedJobs struct {
	ids map[jobs.ID]bool
	// deletions are the deletions of rows that the feed has not passed, by version.
	deletions []rowDeletion
}

// rowDeletion is a deletion of the rows of jobs, which the table's version includes.
type rowDeletion struct {
	version storage.RowVersion
	jobs    []jobs.ID
}

func newRemovedJobs() removedJobs { return removedJobs{ids: map[jobs.ID]bool{}} }

func (r *removedJobs) add(id jobs.ID) { r.ids[id] = true }

func (r *removedJobs) contains(id jobs.ID) bool { return r.ids[id] }

// rowsDeleted records that the rows of the jobs were deleted by the table's version.
// Versions do not decrease from one call to the next.
func (r *removedJobs) rowsDeleted(version storage.RowVersion, deleted []jobs.ID) {
	r.deletions = append(r.deletions, rowDeletion{version: version, jobs: deleted})
}

// feedApplied evicts the IDs of the jobs whose rows can't be in a later update of the
// feed. All changes up to the version have been applied.
func (r *removedJobs) feedApplied(version storage.RowVersion) {
	for len(r.deletions) > 0 && r.deletions[0].version <= version {
		for _, id := range r.deletions[0].jobs {
			delete(r.ids, id)
		}
		r.deletions = r.deletions[1:]
	}
}
