package kitemux.mysql;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import kitemux.mysql.Statement.Trait;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Classification of statements as reads, and their effects on the session. */
class StatementTest {
    /** Fixed, so that each run tries the same inputs. */
    private static final String SEED = "41";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SELECT 1",
                "select * from orders where id = 'x;y'",
                "SELECT 1;",
                " -- hello\nSELECT 1 # end",
                "SELECT COUNT(*), max(price) FROM orders o JOIN schools s ON (s.id = o.school) WHERE o.id IN (1, 2)",
                "(SELECT 1) UNION ALL (SELECT 2)",
                "WITH x AS (SELECT 1) SELECT * FROM x",
                "SELECT `update`, `into` FROM `delete`",
                "SELECT 'it''s INSERT' FROM t",
                "SELECT \"DELETE\" FROM t",
                "SHOW TABLES",
                "DESCRIBE orders",
                "EXPLAIN SELECT 1",
                "SELECT @@version, @@session.tx_isolation",
                "SELECT /*+ MAX_EXECUTION_TIME(100) */ 1",
                "/* insert */ SELECT 1",
                "TABLE orders",
                "SELECT 1e5, 0x1f FROM t LIMIT 10 OFFSET 3",
                "SELECT 'a\\n' FROM t"
            })
    void readsAreRecognized(String sql) {
        Statement statement = Statement.analyze(sql);
        assertTrue(statement.isReadOnly(), sql);
        assertEquals(Set.of(), statement.traits(), sql);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "INSERT INTO orders VALUES (1)",
                "update orders set a = 1",
                "DELETE FROM orders",
                "REPLACE INTO t SET a=1",
                "SELECT * FROM orders FOR UPDATE",
                "SELECT * FROM orders LOCK IN SHARE MODE",
                "SELECT 1 INTO @x",
                "SELECT a FROM t INTO OUTFILE '/x'",
                "SELECT place_order(1)",
                "SELECT shop.count(1)",
                "SELECT shop . `count` (1)",
                "SELECT count (1)",
                "SELECT `count`(1)",
                "SELECT 1place(2)",
                "SELECT \"f\"(1)",
                "SELECT NEXTVAL(s)",
                "SELECT NEXT VALUE FOR s",
                "SELECT 1; INSERT INTO t VALUES (1)",
                "SELECT 1; SELECT 2",
                "WITH x AS (SELECT 1) DELETE FROM t",
                "EXPLAIN ANALYZE SELECT 1",
                "/*!50000 INSERT INTO t VALUES (1) */",
                "SELECT 1 /*! INTO OUTFILE '/x' */",
                "/*M! DROP TABLE t */",
                "CALL p()",
                "DO f()",
                "SELECT 'open",
                "SELECT 1 /* open",
                "SELECT 'a\\' , f(1), 'b'",
                "",
                ";",
                "SELECT @x := 1",
                "SELECT sleep_and_order()",
                "CREATE TABLE t (a INT)",
                "SET x = 1",
                "garbage"
            })
    void possibleWritesAreNotReads(String sql) {
        assertFalse(Statement.analyze(sql).isReadOnly(), sql);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "BEGIN | BEGINS_TRANSACTION",
                "START TRANSACTION READ ONLY | BEGINS_TRANSACTION",
                "START REPLICA | PINS_SESSION",
                "COMMIT | ENDS_TRANSACTION",
                "ROLLBACK | ENDS_TRANSACTION",
                "ROLLBACK TO SAVEPOINT a | BEGINS_TRANSACTION",
                "SAVEPOINT a | PINS_SESSION",
                "CREATE TABLE t (a INT) | ENDS_TRANSACTION",
                "CREATE TEMPORARY TABLE t (a INT) | PINS_SESSION",
                "SET NAMES utf8mb4 | SETS_VARIABLES",
                "USE shop | SETS_VARIABLES",
                "SET autocommit = 0 | PINS_SESSION",
                "SET @@session.autocommit=0 | PINS_SESSION",
                "SET @a = 1 | PINS_SESSION",
                "SET TRANSACTION ISOLATION LEVEL READ COMMITTED | PINS_SESSION",
                "SET GLOBAL a = 1 | PINS_SESSION",
                "SELECT @a | PINS_SESSION",
                "SELECT GET_LOCK('a', 1) | PINS_SESSION",
                "LOCK TABLES t READ | PINS_SESSION",
                "PREPARE s FROM 'SELECT 1' | PINS_SESSION",
                "SELECT SQL_CALC_FOUND_ROWS * FROM t | PINS_SESSION",
                "SELECT FOUND_ROWS() | READS_SESSION_STATE",
                "SELECT LAST_INSERT_ID() | READS_SESSION_STATE",
                "/*!40101 SET autocommit=0 */ | PINS_SESSION"
            })
    void sessionTraitsAreRecognized(String sql, Trait trait) {
        assertEquals(Set.of(trait), Statement.analyze(sql).traits(), sql);
        assertFalse(Statement.analyze(sql).isReadOnly(), sql);
    }

    @Property(seed = SEED, tries = 2_000)
    void arbitraryTextNeverTurnsAWriteIntoARead(@ForAll @StringLength(max = 60) String text) {
        Statement.analyze(text);
        assertFalse(Statement.analyze("INSERT INTO t VALUES (1) " + text).isReadOnly());
        assertFalse(
                Statement.analyze("SELECT 1; INSERT INTO t VALUES (1); " + text).isReadOnly());
        assertFalse(Statement.analyze("SELECT 1 FROM t WHERE f(1) " + text).isReadOnly());
    }

    @ParameterizedTest
    @ValueSource(ints = {Statement.MAX_ANALYZED_CHARS - 20, Statement.MAX_ANALYZED_CHARS})
    void overlongTextIsNotARead(int length) {
        Statement statement = Statement.analyze("SELECT 1 " + " ".repeat(length));
        assertEquals(length < Statement.MAX_ANALYZED_CHARS, statement.isReadOnly());
    }
}
