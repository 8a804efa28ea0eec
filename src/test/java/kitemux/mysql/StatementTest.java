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

/** What a statement's text says of whether it may run again, and of its session. */
class StatementTest {
    /** So that each run tries the same. */
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
    void reads(String sql) {
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
    void whatIsNotSurelyARead(String sql) {
        assertFalse(Statement.analyze(sql).isReadOnly(), sql);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "BEGIN | BEGINS",
                "START TRANSACTION READ ONLY | BEGINS",
                "START REPLICA | PINS",
                "COMMIT | ENDS",
                "ROLLBACK | ENDS",
                "ROLLBACK TO SAVEPOINT a | BEGINS",
                "SAVEPOINT a | PINS",
                "CREATE TABLE t (a INT) | ENDS",
                "CREATE TEMPORARY TABLE t (a INT) | PINS",
                "SET NAMES utf8mb4 | SETS",
                "USE shop | SETS",
                "SET autocommit = 0 | PINS",
                "SET @@session.autocommit=0 | PINS",
                "SET @a = 1 | PINS",
                "SET TRANSACTION ISOLATION LEVEL READ COMMITTED | PINS",
                "SET GLOBAL a = 1 | PINS",
                "SELECT @a | PINS",
                "SELECT GET_LOCK('a', 1) | PINS",
                "LOCK TABLES t READ | PINS",
                "PREPARE s FROM 'SELECT 1' | PINS",
                "SELECT SQL_CALC_FOUND_ROWS * FROM t | PINS",
                "SELECT FOUND_ROWS() | LOOKS_BACK",
                "SELECT LAST_INSERT_ID() | LOOKS_BACK",
                "/*!40101 SET autocommit=0 */ | PINS"
            })
    void whatItDoesToItsSession(String sql, Trait trait) {
        assertEquals(Set.of(trait), Statement.analyze(sql).traits(), sql);
        assertFalse(Statement.analyze(sql).isReadOnly(), sql);
    }

    @Property(seed = SEED, tries = 2_000)
    void noTextFailsAndNothingBehindAReadMakesAWriteARead(@ForAll @StringLength(max = 60) String text) {
        Statement.analyze(text);
        assertFalse(Statement.analyze("INSERT INTO t VALUES (1) " + text).isReadOnly());
        assertFalse(Statement.analyze("SELECT 1; INSERT INTO t VALUES (1); " + text).isReadOnly());
        assertFalse(Statement.analyze("SELECT 1 FROM t WHERE f(1) " + text).isReadOnly());
    }

    @ParameterizedTest
    @ValueSource(ints = {Statement.MOST_LOOKED_AT - 20, Statement.MOST_LOOKED_AT})
    void aTextThatIsTooLongToLookAtIsNoRead(int length) {
        Statement statement = Statement.analyze("SELECT 1 " + " ".repeat(length));
        assertEquals(length < Statement.MOST_LOOKED_AT, statement.isReadOnly());
    }
}
