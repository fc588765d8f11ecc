package classifier

import pg_query "github.com/pganalyze/pg_query_go/v6"

// commitsItself reports whether a statement may commit before it ends. A failure of such a
// statement does not prove that it had no effect: an invalid index, a pending detachment of a
// partition or a part of the tables may remain. REINDEX, VACUUM, ANALYZE and CLUSTER of one table
// count too, because a partitioned one is processed partition by partition.
func commitsItself(node *pg_query.Node) bool {
	switch n := node.Node.(type) {
	case *pg_query.Node_CallStmt, *pg_query.Node_DoStmt, *pg_query.Node_ReindexStmt, *pg_query.Node_VacuumStmt, *pg_query.Node_ClusterStmt:
		return true
	case *pg_query.Node_IndexStmt:
		return n.IndexStmt.Concurrent
	case *pg_query.Node_DropStmt:
		return n.DropStmt.Concurrent
	case *pg_query.Node_AlterTableStmt:
		for _, c := range n.AlterTableStmt.Cmds {
			if c.GetAlterTableCmd().GetDef().GetPartitionCmd().GetConcurrent() {
				return true
			}
		}
	}
	return false
}
