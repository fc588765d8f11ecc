package classifier

import "strings"

// pureFunctions are the built-in functions of PostgreSQL that have no side
// effects. A statement that calls any other function is not a read.
var pureFunctions = words(`
	abs age array_agg array_append array_cat array_length array_position array_to_string avg bool_and bool_or btrim
	cardinality ceil ceiling char_length character_length coalesce concat concat_ws cos count cume_dist current_database
	current_schema current_user date_bin date_part date_trunc decode degrees dense_rank div encode every exp extract
	first_value floor format gcd generate_series generate_subscripts greatest initcap isfinite json_agg json_array_elements
	json_array_length json_build_array json_build_object json_each json_extract_path json_extract_path_text json_object_agg
	json_typeof jsonb_agg jsonb_array_elements jsonb_array_elements_text jsonb_array_length jsonb_build_array
	jsonb_build_object jsonb_each jsonb_each_text jsonb_extract_path jsonb_extract_path_text jsonb_object_agg
	jsonb_object_keys jsonb_path_exists jsonb_path_query jsonb_typeof justify_days justify_hours lag last_value lead least
	left length ln log lower lpad ltrim make_date make_interval make_timestamp make_timestamptz max md5 min mod
	nth_value ntile nullif num_nonnulls num_nulls octet_length overlay percent_rank percentile_cont percentile_disc
	phraseto_tsquery plainto_tsquery position power radians rank regexp_count regexp_instr regexp_like regexp_match
	regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse right
	round row_number row_to_json rpad rtrim sha224 sha256 sha384 sha512 sign similar_to_escape sin split_part sqrt
	starts_with stddev stddev_pop stddev_samp string_agg string_to_array string_to_table strpos substr substring sum tan
	timezone to_char to_date to_json to_jsonb to_number to_timestamp to_tsquery to_tsvector translate trim trunc
	ts_headline ts_rank ts_rank_cd unnest upper var_pop var_samp variance version websearch_to_tsquery width_bucket
	like_escape xmlagg now transaction_timestamp statement_timestamp clock_timestamp timeofday random gen_random_uuid
	pg_typeof pg_column_size similarity
`)

// sessionFunctions are the built-in functions that leave state in the server
// connection.
var sessionFunctions = words(`
	set_config setseed pg_advisory_lock pg_advisory_lock_shared pg_try_advisory_lock pg_try_advisory_lock_shared
	pg_advisory_unlock pg_advisory_unlock_shared pg_advisory_unlock_all
`)

// words returns the set of the words in text.
func words(text string) map[string]bool {
	m := make(map[string]bool)
	for _, w := range strings.Fields(text) {
		m[w] = true
	}
	return m
}
